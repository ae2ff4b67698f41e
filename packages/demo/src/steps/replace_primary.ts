import {databaseNames, memberName} from '@pistachiorill/launcher';
import type {DemoContext} from '../demo_context.js';
import {DemoStep, assertEqual} from '../demo_step.js';
import {queryText, retryUntilDefined} from '../queries.js';

const LIMIT_MS = 15_000;

/** Kills the primary and measures the time until a write succeeds again. */
export class ReplacePrimary extends DemoStep {
  override readonly title = 'kill the primary';

  override async run(context: DemoContext): Promise<string> {
    const {fleet} = context;
    const [database = ''] = databaseNames(fleet.profile);
    const former = (await fleet.primaryOf(database)) ?? '';
    const caller = await context.connect('macon-a');
    const start = Date.now();
    await fleet.members.get(former)?.kill();
    // The request id makes it safe to resend the write until it succeeds.
    await retryUntilDefined('a write after the failover', LIMIT_MS, () =>
      caller.query(
        "/*route='release',request_id='r-2'*/ INSERT INTO batch VALUES (2, 'B1')",
      ),
    );
    const gapMs = Date.now() - start;
    const count = await queryText(caller, 'SELECT COUNT(*) FROM batch');
    assertEqual('the number of rows', count, '2');
    const primary = await this.findNewPrimary(context, database);
    return `${former} replaced by ${primary}, next write after ${gapMs} ms`;
  }

  private async findNewPrimary(
    {fleet}: DemoContext,
    database: string,
  ): Promise<string | undefined> {
    for (const dataCentre of fleet.profile.dataCentres) {
      const name = memberName(database, dataCentre);
      const state = await fleet.stateOf(name);
      if (state?.role === 'primary') return name;
    }
    return undefined;
  }
}
