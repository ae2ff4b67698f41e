import type {DemoContext} from './demo_context.js';

/** One step of the demo. */
export abstract class DemoStep {
  abstract readonly title: string;

  /** Runs the step and describes its result; throws on an unexpected one. */
  abstract run(context: DemoContext): Promise<string>;
}

/** Throws an error that names `what` unless the values are equal. */
export function assertEqual(
  what: string,
  actual: unknown,
  expected: unknown,
): void {
  if (actual !== expected) {
    throw new Error(`${what}: expected ${expected}, got ${actual}`);
  }
}
