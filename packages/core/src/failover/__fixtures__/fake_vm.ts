import {Random} from '../../common/random.js';
import type {GroupView, MemberView} from '../../routing/group_view.js';
import {initialFailoverState} from '../failover_state.js';
import type {FailoverMessage, FailoverState} from '../failover_state.js';
import type {FakeMember} from './fake_member.js';

const SWITCHOVER_GRACE_MS = 8_000;

/** A VM that applies the failover decisions to the messages of the fleet. */
export class FakeVm {
  state: FailoverState;
  views: MemberView[] = [];
  /** Messages wait in the inbox until this time. */
  pausedUntil = 0;
  readonly inbox: FailoverMessage[] = [];
  readonly random: Random;

  constructor(
    readonly name: string,
    dataCentre: string,
    members: readonly FakeMember[],
    seed: number,
  ) {
    this.random = new Random(seed);
    const identity = {
      database: 'ledger',
      vm: name,
      dataCentre,
      owner: name,
      switchoverGraceMs: SWITCHOVER_GRACE_MS,
    };
    this.state = {
      ...initialFailoverState(identity),
      dataCentresInService: 3,
      members: members.map(member => ({
        backendServer: member.name,
        address: member.name,
        eligibility: 'allowed',
      })),
    };
  }

  view(): GroupView {
    return {database: 'ledger', members: this.views};
  }
}
