import type {FailoverReport} from '@pistachiorill/core';
import type {Announcement} from './procedures/announce_schema.js';
import type {
  ConfigurationResponse,
  ConfigurationRequest,
} from './procedures/configuration_schema.js';
import type {
  ForwardResponse,
  ForwardRequest,
} from './procedures/forward_schema.js';
import type {
  LedgerResponse,
  LedgerRequest,
} from './procedures/ledger_schema.js';
import type {LoanResponse, LoanRequest} from './procedures/loan_schema.js';
import type {
  ProbeIndirectResponse,
  ProbeIndirectRequest,
} from './procedures/probe_indirect_schema.js';
import type {Gossip} from './procedures/probe_schema.js';
import type {StatusResponse} from './procedures/status_schema.js';
import type {
  BeginResponse,
  BeginRequest,
  CommitRequest,
  ExecuteInRequest,
  KeepAliveRequest,
  RollbackRequest,
} from './procedures/transaction_schema.js';

/**
 * The handlers of a VM for the requests of other VMs. `PEER_ROUTER` documents
 * each procedure.
 */
export abstract class PeerHandlers {
  abstract probe(gossip: Gossip): Promise<Gossip>;
  abstract probeIndirect(
    req: ProbeIndirectRequest,
  ): Promise<ProbeIndirectResponse>;
  abstract configuration(
    req: ConfigurationRequest,
  ): Promise<ConfigurationResponse>;
  abstract announce(announcement: Announcement): Promise<void>;
  abstract ledger(req: LedgerRequest): Promise<LedgerResponse>;
  abstract loan(req: LoanRequest): Promise<LoanResponse>;
  abstract report(report: FailoverReport): Promise<void>;
  abstract forward(req: ForwardRequest): Promise<ForwardResponse>;
  abstract begin(req: BeginRequest): Promise<BeginResponse>;
  abstract executeIn(req: ExecuteInRequest): Promise<ForwardResponse>;
  abstract commit(req: CommitRequest): Promise<ForwardResponse>;
  abstract rollback(req: RollbackRequest): Promise<void>;
  abstract keepAlive(req: KeepAliveRequest): Promise<void>;
  abstract status(): Promise<StatusResponse>;
}
