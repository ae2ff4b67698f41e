import {
  acceptanceName,
  configurationKey,
  documentName,
} from '../configuration_row.js';
import type {VersionedRow} from '../configuration_row.js';
import type {
  PromotionEvent,
  PromotionOutcome,
  PromotionRequest,
  PromotionStep,
} from '../promotion.js';
import {advancePromotion, startPromotion} from '../promotion_machine.js';
import type {PromotionProgress} from '../promotion_machine.js';

/**
 * The fault of one request: a `down` request is not executed, a `lost` one is
 * executed but not answered, and a `delayed` one is not answered and executed
 * after the next request.
 */
export type Fault = 'none' | 'down' | 'lost' | 'delayed';

/** An in-memory store with the fault of each request chosen by the test. */
export class FakeStore {
  readonly rows = new Map<string, VersionedRow>();
  readonly objects = new Set<string>();
  private delayedRequests: Array<() => void> = [];

  execute(
    step: Exclude<PromotionStep, {kind: 'finish'}>,
    request: PromotionRequest,
    fault: Fault,
  ): PromotionEvent {
    if (fault === 'down') {
      return {kind: 'failed', effect: 'none', detail: 'down'};
    }
    const run = (): PromotionEvent => this.run(step, request);
    const dueRequests = this.delayedRequests;
    this.delayedRequests = fault === 'delayed' ? [run] : [];
    const event = fault === 'delayed' ? undefined : run();
    for (const runRequest of dueRequests) runRequest();
    if (!event || fault === 'lost') {
      return {kind: 'failed', effect: 'unknown', detail: 'no answer'};
    }
    return event;
  }

  private run(
    step: Exclude<PromotionStep, {kind: 'finish'}>,
    {environment, hash}: PromotionRequest,
  ): PromotionEvent {
    const current = this.rows.get(configurationKey(environment));
    switch (step.kind) {
      case 'check-trial': {
        const accepted = this.objects.has(acceptanceName('trial', hash));
        return {kind: 'acceptance', accepted: accepted ? 'yes' : 'no'};
      }
      case 'put-body':
        this.objects.add(documentName(hash));
        return {kind: 'stored'};
      case 'record-acceptance':
        this.objects.add(acceptanceName(environment, hash));
        return {kind: 'stored'};
      case 'read-row':
      case 'read-back':
        return {kind: 'row', current};
      case 'write-row': {
        const version = current?.version ?? 0;
        if (version !== step.expected) return {kind: 'conflict', current};
        const row = {...step.row, version: version + 1};
        this.rows.set(configurationKey(environment), row);
        return {kind: 'written', version: row.version};
      }
      case 'read-vms':
        return {kind: 'vms', reports: []};
    }
  }
}

/** Executes the steps of one promotion against a fake store. */
export class PromotionRunner {
  readonly trace: string[] = [];
  private progress: PromotionProgress;
  private now = 0;

  constructor(
    private readonly store: FakeStore,
    private readonly request: PromotionRequest,
  ) {
    this.progress = startPromotion(request);
  }

  get outcome(): PromotionOutcome | undefined {
    const {step} = this.progress;
    return step.kind === 'finish' ? step.outcome : undefined;
  }

  /** Executes the next step, unless the promotion is finished. */
  advance(fault: Fault): void {
    const {state, step} = this.progress;
    if (step.kind === 'finish') return;
    this.now += step.delayMs;
    this.trace.push(fault === 'none' ? step.kind : `${step.kind}!`);
    const event = this.store.execute(step, this.request, fault);
    this.progress = advancePromotion(state, event, this.now);
  }

  /** Executes all remaining steps and returns the outcome on one line. */
  finish(faultAt: (index: number) => Fault = () => 'none'): string {
    for (let index = 0; !this.outcome; index += 1) this.advance(faultAt(index));
    return describeOutcome(this.outcome);
  }
}

/** Formats an outcome on one line. */
export function describeOutcome(outcome: PromotionOutcome): string {
  switch (outcome.kind) {
    case 'promoted':
    case 'already-in-force':
      return `${outcome.kind} ${outcome.version}`;
    case 'conflict':
    case 'superseded':
      return `${outcome.kind} with ${outcome.current?.actor}`;
    case 'unavailable':
      return `unavailable in ${outcome.phase}`;
    default:
      return outcome.kind;
  }
}
