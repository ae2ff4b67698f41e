// What the scripts share: the record, the exit code and the end of a run.
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

const startedAt = performance.now();
const lines = [];
/** Further violations are only counted. */
const MAX_SHOWN = 20;
const MAX_RUN_MS = 100_000;

/** Whether the disruption is caused; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Adds a line to the record, with the time since the start of the script. */
export function record(text) {
  const at = (performance.now() - startedAt).toFixed(0).padStart(6);
  lines.push(`${at} ms  ${text}`);
}

/** Milliseconds since the start of the script, for a time of its clock. */
export function sinceStart(at) {
  return Math.round(at - startedAt);
}

/**
 * Runs a case: `play` returns the violations of the rule as texts, or throws if
 * the case could not run. Writes the record and exits.
 */
export async function runCase(folder, play, end) {
  let code = 2;
  const stop = reason => {
    record(reason);
    end().finally(() => process.exit(2));
  };
  setTimeout(() => stop('the time is over'), MAX_RUN_MS).unref();
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => stop(signal));
  }
  try {
    const violations = await play();
    for (const text of violations.slice(0, MAX_SHOWN)) {
      record(`BROKEN: ${text}`);
    }
    record(`${violations.length} violations`);
    record(violations.length > 0 ? 'the rule was broken' : 'the rule held');
    code = violations.length > 0 ? 1 : 0;
  } catch (err) {
    record(`the case could not run: ${err.stack}`);
  }
  await end();
  writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
  console.log(lines.at(-1));
  process.exit(code);
}
