import type {FailoverReport} from '@pistachiorill/core';
import type {Announcement} from './procedures/announce_schema.js';
import type {
  ConfigurationAnswer,
  ConfigurationRequest,
} from './procedures/configuration_schema.js';
import type {
  ForwardAnswer,
  ForwardRequest,
} from './procedures/forward_schema.js';
import type {LedgerAnswer, LedgerRequest} from './procedures/ledger_schema.js';
import type {LoanAnswer, LoanRequest} from './procedures/loan_schema.js';
import type {
  ProbeIndirectAnswer,
  ProbeIndirectRequest,
} from './procedures/probe_indirect_schema.js';
import type {Gossip} from './procedures/probe_schema.js';
import type {StatusAnswer} from './procedures/status_schema.js';
import type {
  BeginAnswer,
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
  ): Promise<ProbeIndirectAnswer>;
  abstract configuration(
    req: ConfigurationRequest,
  ): Promise<ConfigurationAnswer>;
  abstract announce(announcement: Announcement): Promise<void>;
  abstract ledger(req: LedgerRequest): Promise<LedgerAnswer>;
  abstract loan(req: LoanRequest): Promise<LoanAnswer>;
  abstract report(report: FailoverReport): Promise<void>;
  abstract forward(req: ForwardRequest): Promise<ForwardAnswer>;
  abstract begin(req: BeginRequest): Promise<BeginAnswer>;
  abstract executeIn(req: ExecuteInRequest): Promise<ForwardAnswer>;
  abstract commit(req: CommitRequest): Promise<ForwardAnswer>;
  abstract rollback(req: RollbackRequest): Promise<void>;
  abstract keepAlive(req: KeepAliveRequest): Promise<void>;
  abstract status(): Promise<StatusAnswer>;
}
