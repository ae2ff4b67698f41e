import type {DemoContext} from '../demo_context.js';
import {DemoStep, assertEqual} from '../demo_step.js';
import {queryText} from '../queries.js';

/** Resends a request through another VM, which returns the first outcome. */
export class RepeatRequest extends DemoStep {
  override readonly title = 'repeat a request through another VM';

  override async run(context: DemoContext): Promise<string> {
    const caller = await context.connect('warner-c');
    await caller.query(
      "/*route='release',request_id='r-1'*/ INSERT INTO batch VALUES (1, 'A7')",
    );
    const count = await queryText(caller, 'SELECT COUNT(*) FROM batch');
    assertEqual('the number of rows', count, '1');
    return 'the VM returned the recorded outcome and inserted no second row';
  }
}
