import type {RequestRecord} from '../load/request_record.js';
import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioContext, ScenarioOutcome} from './scenario.js';

const OUT_AT_SHARE = 0.25;
const BACK_AT_SHARE = 0.7;
/** Time after the promotion in which the data centre may still serve requests. */
const LEAVE_LIMIT_MS = 5_000;

interface OutOfServicePeriod {
  readonly dataCentre: string;
  readonly from: number;
  readonly to: number;
}

/** A new document takes the first data centre out of service, a later one back. */
export class DataCentreOutScenario extends Scenario {
  override readonly name = 'data-centre-out';
  private outOfService: OutOfServicePeriod | undefined;

  override async inject(context: ScenarioContext): Promise<ScenarioOutcome> {
    const {fleet, until, mark, clock} = context;
    const name = fleet.profile.dataCentres[0] ?? '';
    await until(OUT_AT_SHARE);
    await fleet.promote({dataCentresOut: [name]});
    const from = clock() + LEAVE_LIMIT_MS;
    mark(`${name} out`);
    await until(BACK_AT_SHARE);
    this.outOfService = {dataCentre: name, from, to: clock()};
    mark(`${name} back`);
    await fleet.promote();
    return SCENARIO_RAN;
  }

  override notesOn(requests: readonly RequestRecord[]): string[] {
    const {outOfService} = this;
    if (!outOfService || outOfService.from >= outOfService.to) {
      return [
        'too short to tell whether the data centre still served requests',
      ];
    }
    const late = requests.filter(
      ({vm, plannedAt, result}) =>
        result === 'answered' &&
        vm.startsWith(`${outOfService.dataCentre}-`) &&
        plannedAt >= outOfService.from &&
        plannedAt < outOfService.to,
    ).length;
    return [
      `${late} requests answered by VMs of ${outOfService.dataCentre} later than ` +
        `${LEAVE_LIMIT_MS} ms after it was taken out`,
    ];
  }
}
