import type {History} from '@pistachiorill/platform/standins';
import type {Violation} from './check_history.js';

/**
 * Finds lines that callers could not assign to a request. `vmAt` returns the VM
 * that listens on an address.
 */
export function checkLines(
  {irregularLines}: Pick<History, 'irregularLines'>,
  vmAt: (address: string) => string,
): readonly Violation[] {
  return irregularLines.flatMap(({kind, address, word, lastId, at}) => {
    if (kind === 'close-request') return [];
    const after = lastId === '' ? 'before any request' : `after ${lastId}`;
    const detail = `${word} from ${vmAt(address)} at ${Math.round(at)} ms, ${after}`;
    return [{promise: kind, detail}];
  });
}
