/** The reply channel of a message. The receiver calls `answer` exactly once. */
export interface Reply<T> {
  readonly answer: (value: T) => void;
}

/**
 * Sends a message that carries a reply channel and resolves with the reply.
 * The receiver must reply to every message, also while it stops; otherwise the
 * promise stays pending.
 */
export function ask<T>(send: (reply: Reply<T>) => void): Promise<T> {
  return new Promise(resolve => {
    send({answer: resolve});
  });
}
