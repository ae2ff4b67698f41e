import {createHash} from 'node:crypto';
import {renameSync, rmSync, writeFileSync, mkdirSync} from 'node:fs';
import {dirname, resolve} from 'node:path';

/** Stands for the digest of a program until its text is known. */
const BUILD_ID = '@build-id@';
const BUILD_ID_LENGTH = 12;

/**
 * Bundles programs with esbuild's `options` into the files `outputs`. A failed
 * build removes programs of an earlier one, as these would be taken for the
 * present code. A program that a process is about to start is never incomplete.
 */
export async function buildPrograms(options, outputs) {
  try {
    // Not imported above, as it may not be installed.
    const {build} = await import('esbuild');
    const {outputFiles} = await build({
      ...options,
      define: {
        ...options.define,
        PISTACHIORILL_BUILD_ID: JSON.stringify(BUILD_ID),
      },
      write: false,
    });
    for (const {path, text} of outputFiles) {
      replaceFile(path, text.replaceAll(BUILD_ID, digestOf(text)));
    }
  } catch (err) {
    for (const output of outputs) rmSync(output, {force: true});
    throw err;
  }
}

function digestOf(text) {
  const digest = createHash('sha256').update(text).digest('hex');
  return digest.slice(0, BUILD_ID_LENGTH);
}

/** Other processes see the whole former file or the whole new one. */
function replaceFile(path, contents) {
  const temporary = `${resolve(path)}.${process.pid}.tmp`;
  mkdirSync(dirname(path), {recursive: true});
  writeFileSync(temporary, contents);
  renameSync(temporary, path);
}
