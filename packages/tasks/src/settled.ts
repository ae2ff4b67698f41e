/** Resolves once the tasks have handled the messages that were sent so far. */
export function settled(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
