import {readFileSync} from 'node:fs';
import type {Output} from './output.js';

/** Reads a file. Prints an error and returns undefined if that fails. */
export function readText(path: string, out: Output): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch (err) {
    const {code = 'unknown error'} = err as NodeJS.ErrnoException;
    out.warn(`${path}: the file cannot be read (${code})`);
    return undefined;
  }
}
