import {
  formatDocumentError,
  parseProcessSettings,
} from '@pistachiorill/document';
import {EntryDaemon} from '@pistachiorill/entry';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import type {Output} from '../support/output.js';
import {readText} from '../support/read_text.js';

/** Runs the daemon of an entry VM until SIGTERM or SIGINT. */
export async function runEntry(
  settingsPath: string,
  out: Output,
): Promise<ExitCode> {
  const text = readText(settingsPath, out);
  if (text === undefined) return EXIT_CODES.invalid;
  const settings = parseProcessSettings(text);
  if (!settings.ok) {
    for (const err of settings.err) {
      out.warn(`${settingsPath}: ${formatDocumentError(err)}`);
    }
    return EXIT_CODES.invalid;
  }
  const daemon = new EntryDaemon(settings.value);
  const stopped = new Promise<void>(resolve => {
    // Not `once`: without a handler a further signal ends the process at once.
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
  await daemon.start();
  await stopped;
  await daemon.stop();
  return EXIT_CODES.done;
}
