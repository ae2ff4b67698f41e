/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<undefined> {
  return new Promise(resolve => {
    setTimeout(resolve, ms, undefined);
  });
}
