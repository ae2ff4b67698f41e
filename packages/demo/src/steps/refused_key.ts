import type {DemoContext} from '../demo_context.js';
import {DemoStep} from '../demo_step.js';

/** Connects with an invalid key, which the VM refuses. */
export class RefusedKey extends DemoStep {
  override readonly title = 'connect with a wrong key';

  override async run(context: DemoContext): Promise<string> {
    const outcome = await context.connect('macon-a', {key: 'wrong'}).then(
      () => 'accepted',
      (err: Error) => err.message,
    );
    if (!outcome.startsWith('not run: bad-key')) throw new Error(outcome);
    return outcome;
  }
}
