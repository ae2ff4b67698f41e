import type {FailoverReport} from '@pistachiorill/core';
import {PeerHandlers} from '@pistachiorill/peers';
import type {
  Announcement,
  BeginResponse,
  BeginRequest,
  CommitRequest,
  ConfigurationResponse,
  ConfigurationRequest,
  ExecuteInRequest,
  ForwardResponse,
  ForwardRequest,
  Gossip,
  KeepAliveRequest,
  LedgerResponse,
  LedgerRequest,
  LoanResponse,
  LoanRequest,
  ProbeIndirectResponse,
  ProbeIndirectRequest,
  RollbackRequest,
  StatusResponse,
} from '@pistachiorill/peers';
import {ask} from '@pistachiorill/tasks';
import type {OwnerTask} from '../forward/owner_task.js';
import type {MembershipTask} from '../membership/membership_task.js';

/** Handlers of requests that belong to other subsystems of the daemon. */
export interface PeerRequestHandlers {
  readonly configuration: (
    req: ConfigurationRequest,
  ) => Promise<ConfigurationResponse>;
  readonly announce: (announcement: Announcement) => void;
  readonly ledger: (req: LedgerRequest) => Promise<LedgerResponse>;
  readonly loan: (req: LoanRequest) => Promise<LoanResponse>;
  readonly report: (report: FailoverReport) => void;
}

/**
 * Handles the requests of peers by passing each one to the task that owns the
 * state it concerns.
 */
export class EntryPeerHandlers extends PeerHandlers {
  constructor(
    private readonly membership: MembershipTask,
    private readonly owner: OwnerTask,
    private readonly services: PeerRequestHandlers,
  ) {
    super();
  }

  override probe(gossip: Gossip): Promise<Gossip> {
    return ask(reply => this.membership.tell({kind: 'probed', gossip, reply}));
  }

  override probeIndirect(
    req: ProbeIndirectRequest,
  ): Promise<ProbeIndirectResponse> {
    const {target} = req;
    return ask(reply =>
      this.membership.tell({kind: 'probe-indirect', target, reply}),
    );
  }

  override configuration(
    req: ConfigurationRequest,
  ): Promise<ConfigurationResponse> {
    return this.services.configuration(req);
  }

  override async announce(announcement: Announcement): Promise<void> {
    this.services.announce(announcement);
  }

  override ledger(req: LedgerRequest): Promise<LedgerResponse> {
    return this.services.ledger(req);
  }

  override loan(req: LoanRequest): Promise<LoanResponse> {
    return this.services.loan(req);
  }

  override async report(report: FailoverReport): Promise<void> {
    this.services.report(report);
  }

  override forward(req: ForwardRequest): Promise<ForwardResponse> {
    return ask(reply => this.owner.tell({kind: 'forward', req, reply}));
  }

  override begin(req: BeginRequest): Promise<BeginResponse> {
    return ask(reply => this.owner.tell({kind: 'begin', req, reply}));
  }

  override executeIn(req: ExecuteInRequest): Promise<ForwardResponse> {
    return ask(reply => this.owner.tell({kind: 'execute-in', req, reply}));
  }

  override commit(req: CommitRequest): Promise<ForwardResponse> {
    return ask(reply => this.owner.tell({kind: 'commit', req, reply}));
  }

  override async rollback(req: RollbackRequest): Promise<void> {
    this.owner.tell({kind: 'rollback', transaction: req.transaction});
  }

  override async keepAlive(req: KeepAliveRequest): Promise<void> {
    const {transactions} = req;
    this.owner.tell({kind: 'keep-alive', transactions});
  }

  override status(): Promise<StatusResponse> {
    return ask(reply => this.membership.tell({kind: 'status', reply}));
  }
}
