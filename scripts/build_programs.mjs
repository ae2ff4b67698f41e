import {renameSync, rmSync, writeFileSync, mkdirSync} from 'node:fs';
import {dirname, resolve} from 'node:path';

/**
 * Bundles programs with esbuild's `options` into the files `outputs`. A failed
 * build removes programs of an earlier one, as these would be taken for the
 * present code. A program that a process is about to start is never incomplete.
 */
export async function buildPrograms(options, outputs) {
  try {
    // Not imported above, as it may not be installed.
    const {build} = await import('esbuild');
    const {outputFiles} = await build({...options, write: false});
    for (const {path, contents} of outputFiles) replaceFile(path, contents);
  } catch (err) {
    for (const output of outputs) rmSync(output, {force: true});
    throw err;
  }
}

/** Other processes see the whole former file or the whole new one. */
function replaceFile(path, contents) {
  const temporary = `${resolve(path)}.${process.pid}.tmp`;
  mkdirSync(dirname(path), {recursive: true});
  writeFileSync(temporary, contents);
  renameSync(temporary, path);
}
