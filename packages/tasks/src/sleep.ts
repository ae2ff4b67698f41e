/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<undefined> {
  return new Promise(resolve => {
    setTimeout(resolve, ms, undefined);
  });
}

/**
 * Resolves with the result of `work`, or with undefined after `ms` milliseconds.
 * Its timer does not outlive the work, so that timers do not pile up.
 */
export async function waitAtMost<T>(
  work: Promise<T>,
  ms: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(resolve, ms, undefined);
  });
  try {
    return await Promise.race([work, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
