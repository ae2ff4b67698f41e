import type {DemoContext} from '../demo_context.js';
import {DemoStep} from '../demo_step.js';
import {queryText, retryUntilDefined} from '../queries.js';

const LIMIT_MS = 5_000;
const SERVED_BY_REPLICA =
  /^pistachiorill_reads_total\{[^}]*replica[^}]*\} (\d+)/m;

/** Reads with a maximum age, which allows a replica to serve the read. */
export class StaleRead extends DemoStep {
  override readonly title = 'read data that may be two seconds old';

  override async run(context: DemoContext): Promise<string> {
    const caller = await context.connect('perry-b');
    const served = await retryUntilDefined(
      'a read on a replica',
      LIMIT_MS,
      async () => {
        await queryText(
          caller,
          "/*route='lookup',max_age_ms='2000'*/ SELECT COUNT(*) FROM batch",
        );
        return this.countReplicaReads(context);
      },
    );
    return `replicas served ${served} reads`;
  }

  private async countReplicaReads(
    context: DemoContext,
  ): Promise<number | undefined> {
    let sum = 0;
    for (const {httpPort} of context.fleet.vms) {
      const res = await fetch(`http://127.0.0.1:${httpPort}/metrics`);
      sum += Number(SERVED_BY_REPLICA.exec(await res.text())?.[1] ?? 0);
    }
    return sum > 0 ? sum : undefined;
  }
}
