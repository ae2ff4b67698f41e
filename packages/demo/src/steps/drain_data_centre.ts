import type {DemoContext} from '../demo_context.js';
import {DemoStep, assertEqual} from '../demo_step.js';
import {queryText, retryUntilDefined} from '../queries.js';

const LIMIT_MS = 10_000;
const DATA_CENTRE = 'warner-c';

/** Takes a data centre out of service with a document, and back in service. */
export class DrainDataCentre extends DemoStep {
  override readonly title = 'take a data centre out and bring it back';

  override async run(context: DemoContext): Promise<string> {
    const start = Date.now();
    await context.fleet.promote({dataCentresOut: [DATA_CENTRE]});
    await this.waitForStatus(context, 503);
    const outMs = Date.now() - start;
    const caller = await context.connect('macon-a');
    const count = await queryText(caller, 'SELECT COUNT(*) FROM batch');
    assertEqual('the number of rows through another VM', count, '1');
    const back = Date.now();
    await context.fleet.promote();
    await this.waitForStatus(context, 200);
    return `out after ${outMs} ms, back after ${Date.now() - back} ms`;
  }

  private waitForStatus(context: DemoContext, status: number): Promise<true> {
    const {httpPort} = context.vmIn(DATA_CENTRE);
    return retryUntilDefined(`readiness ${status}`, LIMIT_MS, async () => {
      const res = await fetch(`http://127.0.0.1:${httpPort}/readyz`);
      return res.status === status ? true : undefined;
    });
  }
}
