import {fail, ok} from '@pistachiorill/core';
import type {
  PrimaryChangeReason,
  Random,
  SuspicionOutcome,
} from '@pistachiorill/core';
import type {FleetView} from '../fleet/fleet_view.js';
import {PrimaryChange} from '../leadership/primary_change.js';
import {PeerSet} from '../peers/peer_set.js';
import {PrimaryPromoter} from '../ports/primary_promoter.js';
import type {
  PromotionError,
  PromotionRequest,
} from '../ports/primary_promoter.js';
import {FakeGroup, listedMember, silentLogger} from './fake_group.js';
import {freshViewOf} from './fake_fleet_view.js';
import {FakeStore} from './fake_store.js';

type OrderFaultMode =
  'done' | 'rejected-once' | 'answer-lost-once' | 'slow-once';

/** How long a slow promotion takes. */
const SLOW_PROMOTION_MS = 300;

/**
 * Promotes fake members to the next term. The fault mode applies to the next
 * order only, which is rejected, loses its answer or takes effect later.
 */
class FakeOrders extends PrimaryPromoter {
  readonly received: string[] = [];
  faultMode: OrderFaultMode = 'done';
  /** Called after each order, before it is answered. */
  onOrder: () => void = () => undefined;

  constructor(private readonly group: FakeGroup) {
    super();
  }

  override async promote({member, holder, fence}: PromotionRequest) {
    this.received.push(`${member} by ${holder}, ${fence}`);
    const {faultMode} = this;
    this.faultMode = 'done';
    this.onOrder();
    const err: PromotionError = {kind: 'rejected', detail: 'not running'};
    if (faultMode === 'rejected-once') return fail(err);
    if (faultMode === 'slow-once') {
      setTimeout(() => this.apply(member), SLOW_PROMOTION_MS);
    } else {
      this.apply(member);
    }
    if (faultMode === 'answer-lost-once') {
      const lost: PromotionError = {kind: 'unknown-outcome', detail: 'lost'};
      return fail(lost);
    }
    return ok(undefined);
  }

  private apply(name: string): void {
    const promoted = this.group.member(name);
    const terms = ['a', 'b', 'c'].map(item => this.group.member(item).term);
    const highestTerm = Math.max(...terms);
    const isPresentPrimary =
      promoted.role === 'primary' && promoted.term === highestTerm;
    if (isPresentPrimary) return;
    promoted.role = 'primary';
    promoted.term = highestTerm + 1;
  }
}

/** Peers that stop at once; those in `silent` do not respond. */
class FakePeers extends PeerSet {
  readonly asked: string[] = [];
  readonly silent = new Set<string>();

  override async stopPrimary(vm: string) {
    this.asked.push(vm);
    if (this.silent.has(vm)) {
      return fail({kind: 'no-answer' as const, detail: 'silent'});
    }
    return ok({seen: null});
  }
}

/**
 * Prepares a primary change of `vm-a` that replaces `a` in a group of fake
 * members, under the fencing number 4 and beside the given other VMs.
 */
export function startPrimaryChange(
  reason: PrimaryChangeReason,
  peersOfFleet: readonly string[] = [],
) {
  const fake = new FakeGroup();
  const offset = {ms: 0};
  const verdicts: SuspicionOutcome[] = [];
  const clock = (): number => performance.now() + offset.ms;
  const store = new FakeStore(clock);
  for (const vm of ['vm-a', ...peersOfFleet]) {
    const entry = {peers: 'x:1', dataCentre: 'macon', incarnation: vm};
    store.put(`vm/${vm}`, entry);
  }
  store.put('leadership/wash', {phase: 'settled', primary: 'a'});
  const takenAt = clock() + 1_000_000;
  store.put('duty', {holder: 'vm-a', fence: 4, takenAt});
  const peers = new FakePeers({fraction: () => 0} as unknown as Random);
  const orders = new FakeOrders(fake);
  const view = (): FleetView => freshViewOf(store, clock());
  const change = new PrimaryChange({group: 'wash', from: 'a', reason}, 4, {
    vm: 'vm-a',
    database: fake.task,
    view,
    members: () => ['a', 'b', 'c'].map(name => listedMember(name)),
    listing: () => 'complete',
    requestList: () => undefined,
    isEligible: () => true,
    isNear: member => member.member === 'c',
    synchronousReplicas: () => 0,
    reevaluate: async () => verdicts.shift() ?? 'replace',
    transact: transaction => store.transact(transaction),
    peers,
    orders,
    clock,
    log: silentLogger(),
  });
  const result = async () => ({
    outcome: await change.run(),
    orders: orders.received,
    record: store.rows.get('leadership/wash')?.value,
  });
  return {fake, store, peers, orders, offset, verdicts, clock, result};
}
