import {describe, expect, it} from 'vitest';
import {
  EMPTY_LEDGER,
  balanceShare,
  finishReclaim,
  startReclaim,
  joinLedger,
  leaveLedger,
  ledgerMembers,
  mayFinishReclaim,
  observeReclaim,
  predecessorsOf,
  shareOf,
} from '../ledger.js';
import type {Ledger} from '../ledger.js';

function vm(name: string, instance = name) {
  return {vm: name, dataCentre: 'a', address: `${name}:1`, instance};
}

function shares(ledger: Ledger): string {
  return ledger.entries
    .map(entry => `${entry.instance} ${entry.sharePpm} ${entry.state}`)
    .join(', ');
}

describe('ledger', () => {
  // Guards against shares that sum to more than 100 %.
  it('assigns only free share to joining VMs', () => {
    const alone = joinLedger(EMPTY_LEDGER, vm('a'));
    const joined = joinLedger(alone, vm('b'));
    const lending = balanceShare(joined, 'a', 700_000);
    const lowered = balanceShare(joined, 'a', 0);
    const even = balanceShare(lowered, 'b', 0);
    const left = balanceShare(leaveLedger(even, 'a'), 'b', 0);
    expect(
      [alone, joined, lending, lowered, even, left].map(shares),
    ).toMatchSnapshot();
  });

  // Guards against reassigning a share that its VM may still use.
  it('reclaims a share after majority acknowledgement and a wait', () => {
    let ledger = EMPTY_LEDGER;
    for (const name of ['a', 'b', 'c']) ledger = joinLedger(ledger, vm(name));
    const intended = startReclaim(ledger, 'a');
    const members = ledgerMembers(intended, 7);
    const start = {instance: 'a', members, majorityAt: undefined};
    const observe = (applied: Record<string, number>) =>
      observeReclaim(start, members, new Map(Object.entries(applied)), 1_000);
    const agreed = observe({b: 7, c: 8});
    expect({
      intended: shares(intended),
      shareOfReclaimed: shareOf(intended, 'a'),
      oneAcknowledged: observe({b: 7, c: 6}).majorityAt,
      majority: agreed.majorityAt,
      early: mayFinishReclaim(agreed, 7_599),
      late: mayFinishReclaim(agreed, 7_601),
      finished: shares(finishReclaim(intended, 'a')),
      notIntended: shares(finishReclaim(ledger, 'a')),
    }).toMatchSnapshot();
  });

  // Guards against reclaiming the share of another VM that is still running.
  it('regards only predecessors at the same address as ended', () => {
    const ledger = joinLedger(joinLedger(EMPTY_LEDGER, vm('a', 'a1')), vm('b'));
    const own = vm('a', 'a2');
    expect([
      predecessorsOf(ledger, own).length,
      predecessorsOf(ledger, {...own, address: 'other:1'}).length,
    ]).toEqual([1, 0]);
  });
});
