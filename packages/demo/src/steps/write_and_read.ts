import type {DemoContext} from '../demo_context.js';
import {DemoStep, assertEqual} from '../demo_step.js';
import {queryText, sessionToken} from '../queries.js';

/** Writes through one VM and reads its own write through another. */
export class WriteAndRead extends DemoStep {
  override readonly title = 'write, then read on another VM';

  override async run(context: DemoContext): Promise<string> {
    const writer = await context.connect('macon-a');
    await writer.query(
      'CREATE TABLE batch (id INTEGER PRIMARY KEY, lot VARCHAR(40))',
    );
    await writer.query(
      "/*route='release',request_id='r-1'*/ INSERT INTO batch VALUES (1, 'A7')",
    );
    const token = await sessionToken(writer);
    const reader = await context.connect('perry-b');
    const lot = await queryText(
      reader,
      `/*route='lookup',session='${token}'*/ SELECT lot FROM batch WHERE id = 1`,
    );
    assertEqual('the lot of the row', lot, 'A7');
    return `wrote through macon-a, read "${lot}" through perry-b`;
  }
}
