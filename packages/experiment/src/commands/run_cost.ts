import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {measureDecisions} from '../cost/decision_cost.js';
import {measurePath} from '../cost/path_cost.js';
import {textTable} from '../report/text_table.js';

/** The command line flags of a cost measurement. */
export interface CostFlags {
  /** Folder for `cost.json`; without it nothing is written. */
  readonly out: string | undefined;
  /** Folder for CPU profiles of the VM; without it none are recorded. */
  readonly cpuProf: string | undefined;
}

/**
 * Measures the cost of statements through a VM and of the decisions for each
 * statement, prints the tables and returns the exit code.
 */
export async function runCost(
  flags: CostFlags,
  buildFolder: string,
): Promise<number> {
  const decisions = measureDecisions();
  const profiling =
    flags.cpuProf === undefined
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${flags.cpuProf}`];
  const paths = await measurePath(buildFolder, profiling);
  console.log(
    textTable([
      [
        'path',
        'callers',
        'direct/s',
        'p50 ms',
        'p99 ms',
        'VM/s',
        'p50 ms',
        'p99 ms',
        'rate ratio',
        'p50 ratio',
        'VM CPU us',
      ],
      ...paths.map(({kind, concurrency, direct, proxied, vmCpuUs}) => [
        kind,
        String(concurrency),
        String(direct.statementsPerSecond),
        direct.p50Ms.toFixed(2),
        direct.p99Ms.toFixed(2),
        String(proxied.statementsPerSecond),
        proxied.p50Ms.toFixed(2),
        proxied.p99Ms.toFixed(2),
        (proxied.statementsPerSecond / direct.statementsPerSecond).toFixed(2),
        (proxied.p50Ms / direct.p50Ms).toFixed(2),
        String(vmCpuUs),
      ]),
    ]),
  );
  console.log(
    `\n${textTable([
      ['decision', 'size', 'ns'],
      ...decisions.map(item => [
        item.decision,
        item.size,
        String(item.nanoseconds),
      ]),
    ])}`,
  );
  if (flags.out !== undefined) {
    mkdirSync(flags.out, {recursive: true});
    const body = JSON.stringify({paths, decisions}, null, 1);
    writeFileSync(join(flags.out, 'cost.json'), body);
  }
  return 0;
}
