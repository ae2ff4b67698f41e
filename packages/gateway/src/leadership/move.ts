import {
  chooseSuccessor,
  holdsDuty,
  laterPosition,
  latestStoreTime,
} from '@pistachiorill/core';
import type {
  DutyRecord,
  LogPosition,
  SuccessorReport,
} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import type {StatusResult} from '../database/database_message.js';
import {DUTY_KEY, leadershipKey} from '../fleet/fleet_rows.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {MoveOutcome, MoveRequest, MoveTools} from './move_tools.js';
import {VmStops} from './vm_stops.js';
import type {Announced} from './vm_stops.js';

const STATUS_INTERVAL_MS = 60;
const ORDER_TIMEOUT_MS = 1_000;
const ORDER_RETRY_MS = 200;
/** An order that has not taken effect by then is given again. */
const EFFECT_WAIT_MS = 2_500;
const STORE_RETRY_MS = 150;
/** A primary that was out of reach for this long before a move may be back. */
const JUDGE_AGAIN_AFTER_MS = 1_000;
/** A move that cannot go on is given up, and another VM may take it over. */
const MOVE_LIMIT_MS = 20_000;

/**
 * Gives a group another primary. The order of the steps is what keeps a former
 * primary from serving: the record says that the group moves; every VM has
 * stopped or lost its right; only then is a successor promoted and recorded.
 */
export class Move {
  private fence = 0;
  private readonly startedAt: number;
  private readonly stops: VmStops;

  constructor(
    private readonly request: MoveRequest,
    private readonly tools: MoveTools,
  ) {
    this.startedAt = tools.clock();
    this.stops = new VmStops(request, {
      ...tools,
      keepDuty: () => this.keepDuty(),
      onStep: (step, details) => this.log(step, details),
    });
  }

  async run(fence: number): Promise<MoveOutcome> {
    this.fence = fence;
    const announced = await this.announce();
    if (!announced) return 'lost';
    const seen = await this.stops.stopAll(announced);
    const kept = await this.keepIfBack(announced);
    return kept ?? this.promoteSuccessor(announced, seen);
  }

  /**
   * Keeps a primary that a partition hid until the VMs behind it could be
   * asked to stop. A promotion would drop the commits that it made meanwhile.
   */
  private async keepIfBack(
    announced: Announced,
  ): Promise<MoveOutcome | undefined> {
    const {from, reason} = this.request;
    const waitedMs = this.tools.clock() - this.startedAt;
    if (reason !== 'unreachable' || waitedMs < JUDGE_AGAIN_AFTER_MS) {
      return undefined;
    }
    const former = await this.statusOf(from);
    if (!former.ok || former.value.role !== 'primary') return undefined;
    if ((await this.tools.judge()) === 'replace') return undefined;
    return this.revert(announced);
  }

  /** Records that the group moves, unless a former holder already did. */
  private async announce(): Promise<Announced | undefined> {
    const {group, from, reason} = this.request;
    while (this.isInTime()) {
      const view = this.tools.view();
      const current = view.rows.leadership.get(group);
      const duty = view.rows.duty;
      if (!current || !duty || !this.holds(duty.value)) return undefined;
      const {record} = current;
      if (record.phase === 'settled' && record.primary !== from) {
        return undefined;
      }
      const moving = {phase: 'moving' as const, from, reason};
      const result = await this.tools.transact({
        expected: new Map([
          [leadershipKey(group), current.version],
          [DUTY_KEY, duty.version],
        ]),
        puts: new Map([[leadershipKey(group), JSON.stringify(moving)]]),
      });
      if (result.ok) {
        this.log('announced', {version: result.value.version});
        const origin = record.phase === 'settled' ? 'own-move' : 'taken-over';
        return {...result.value, origin};
      }
      this.log('announce-failed', {err: result.err});
      await sleep(STORE_RETRY_MS);
    }
    return undefined;
  }

  /**
   * Keeps the former primary, which nobody else can succeed now. Another holder
   * may have ordered a promotion that takes effect later, so the duty must not
   * have changed hands since this move was announced.
   */
  private async revert(announced: Announced): Promise<MoveOutcome | undefined> {
    const {group, from} = this.request;
    const {duty, leadership} = this.tools.view().rows;
    const current = leadership.get(group);
    const isOwn =
      announced.origin === 'own-move' &&
      duty?.value.holder === this.tools.vm &&
      duty.value.fence === this.fence;
    if (!isOwn || current?.record.phase !== 'moving') return undefined;
    const record = {phase: 'settled', primary: from};
    const result = await this.tools.transact({
      expected: new Map([
        [leadershipKey(group), current.version],
        [DUTY_KEY, duty.version],
      ]),
      puts: new Map([[leadershipKey(group), JSON.stringify(record)]]),
    });
    this.log('reverted', {result: result.ok ? 'done' : result.err});
    return result.ok ? 'reverted' : undefined;
  }

  private async promoteSuccessor(
    announced: Announced,
    seen: LogPosition | undefined,
  ): Promise<MoveOutcome> {
    const {from, reason} = this.request;
    const choosingSince = this.tools.clock();
    while (this.isInTime()) {
      const now = this.tools.clock();
      const others = this.tools.members().filter(item => item.member !== from);
      const [reports, former] = await Promise.all([
        this.reportsOf(others),
        this.statusOf(from),
      ]);
      const terms = [...reports, ...(former.ok ? [former.value] : [])];
      const highestTerm = Math.max(
        seen?.term ?? 0,
        ...terms.map(item => item.term),
      );
      const required =
        reason === 'leaving'
          ? laterPosition(seen, former.ok ? former.value.received : undefined)
          : undefined;
      const choice = chooseSuccessor({
        reports,
        former: former.ok ? former.value : undefined,
        listed: others.length,
        required,
        synchronousReplicas: this.tools.synchronousReplicas(),
        waitedMs: now - choosingSince,
      });
      if (choice.kind === 'already') return this.settle(choice.member);
      if (choice.kind === 'promote') {
        const term = await this.promote(choice.member, highestTerm);
        if (term !== undefined) return this.settle(choice.member, term);
      } else if (
        choice.reason === 'no-report' &&
        former.ok &&
        former.value.role === 'primary' &&
        now - choosingSince > EFFECT_WAIT_MS
      ) {
        const outcome = await this.revert(announced);
        if (outcome) return outcome;
      }
      await sleep(STATUS_INTERVAL_MS);
    }
    return 'given-up';
  }

  private async reportsOf(
    members: readonly ListedMember[],
  ): Promise<readonly SuccessorReport[]> {
    const reports = await Promise.all(
      members.map(async listed => {
        const status = await this.statusOf(listed.member);
        if (!status.ok) return undefined;
        const {role, term, received} = status.value;
        const report: SuccessorReport = {
          member: listed.member,
          role,
          term,
          received,
          eligibility: this.tools.isEligible(listed) ? 'eligible' : 'leaving',
          proximity: this.tools.isNear(listed) ? 'near' : 'far',
        };
        return report;
      }),
    );
    return reports.filter(item => item !== undefined);
  }

  private statusOf(member: string): Promise<StatusResult> {
    return ask(reply =>
      this.tools.database.tell({kind: 'status', member, reply}),
    );
  }

  /**
   * Orders the promotion and waits until the member leads in a term that no
   * other member exceeds; returns that term.
   */
  private async promote(
    member: string,
    highestTerm: number,
  ): Promise<number | undefined> {
    const {group} = this.request;
    const until = this.tools.clock() + EFFECT_WAIT_MS;
    let ordered: 'no' | 'yes' = 'no';
    while (this.tools.clock() < until) {
      if (ordered === 'no') {
        const duty = this.tools.view().rows.duty;
        if (!duty || !this.holds(duty.value)) {
          // The duty is taken anew with the same number while it is free.
          if (!(await this.extendDuty())) return undefined;
          continue;
        }
        const result = await this.tools.orders.promote(
          {group, member, holder: this.tools.vm, fence: this.fence},
          ORDER_TIMEOUT_MS,
        );
        this.log('ordered', {member, result: result.ok ? 'done' : result.err});
        if (!result.ok && result.err.kind === 'rejected') return undefined;
        if (result.ok) ordered = 'yes';
        else await sleep(ORDER_RETRY_MS);
      }
      const status = await this.statusOf(member);
      if (
        status.ok &&
        status.value.role === 'primary' &&
        status.value.term >= highestTerm
      ) {
        return status.value.term;
      }
      await sleep(STATUS_INTERVAL_MS);
    }
    return undefined;
  }

  /** Extends the duty while the move waits, so that no other VM joins in. */
  private async keepDuty(): Promise<void> {
    const duty = this.tools.view().rows.duty;
    if (!duty || duty.value.fence !== this.fence) return;
    if (this.holds(duty.value)) return;
    const outcome = (await this.extendDuty()) ? 'extended' : 'lost';
    this.log('duty', {outcome});
  }

  private async extendDuty(): Promise<boolean> {
    const view = this.tools.view();
    const duty = view.rows.duty;
    if (!duty || duty.value.holder !== this.tools.vm) return false;
    const takenAt = latestStoreTime(view.storeClock, this.tools.clock());
    const record: DutyRecord = {...duty.value, takenAt};
    const result = await this.tools.transact({
      expected: new Map([[DUTY_KEY, duty.version]]),
      puts: new Map([[DUTY_KEY, JSON.stringify(record)]]),
    });
    if (!result.ok) await sleep(STORE_RETRY_MS);
    return result.ok || result.err.kind !== 'conflict';
  }

  private holds(duty: DutyRecord): boolean {
    return (
      duty.fence === this.fence &&
      holdsDuty(
        this.tools.vm,
        duty,
        latestStoreTime(this.tools.view().storeClock, this.tools.clock()),
        ORDER_TIMEOUT_MS,
      )
    );
  }

  private async settle(primary: string, term?: number): Promise<MoveOutcome> {
    const {group, from} = this.request;
    while (this.isInTime()) {
      const current = this.tools.view().rows.leadership.get(group);
      if (!current || current.record.phase !== 'moving') return 'lost';
      const result = await this.tools.transact({
        expected: new Map([[leadershipKey(group), current.version]]),
        puts: new Map([
          [leadershipKey(group), JSON.stringify({phase: 'settled', primary})],
        ]),
      });
      if (result.ok) {
        this.log('settled', {primary, version: result.value.version});
        if (term !== undefined) {
          this.tools.database.tell({kind: 'step-down', member: from, term});
        }
        return 'settled';
      }
      await sleep(STORE_RETRY_MS);
    }
    return 'given-up';
  }

  private isInTime(): boolean {
    return this.tools.clock() - this.startedAt < MOVE_LIMIT_MS;
  }

  private log(step: string, details: object): void {
    this.tools.log.info(
      {
        event: 'move.step',
        step,
        ...this.request,
        fence: this.fence,
        elapsedMs: Math.round(this.tools.clock() - this.startedAt),
        ...details,
      },
      'change of primary',
    );
  }
}
