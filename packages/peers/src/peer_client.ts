import {Agent} from 'node:http';
import type {FailoverReport, Result} from '@pistachiorill/core';
import {createTRPCClient} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {callPeer as call} from './call_peer.js';
import type {CallOptions} from './call_peer.js';
import type {PeerError} from './peer_error.js';
import {peerLink} from './peer_link.js';
import type {PeerRouter} from './peer_router.js';
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

type PeerResult<T> = Promise<Result<T, PeerError>>;

/** Shorter than the server's keep-alive timeout; see `PeerServer`. */
const IDLE_TIMEOUT_MS = 30_000;

/** Calls the procedures of one other VM. */
export class PeerClient {
  private readonly agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    timeout: IDLE_TIMEOUT_MS,
  });
  private readonly client: TRPCClient<PeerRouter>;

  constructor(readonly address: string) {
    this.client = createTRPCClient<PeerRouter>({
      links: [peerLink(address, this.agent)],
    });
  }

  probe(gossip: Gossip, options: CallOptions): PeerResult<Gossip> {
    return call(options, o => this.client.probe.mutate(gossip, o));
  }

  probeIndirect(
    req: ProbeIndirectRequest,
    options: CallOptions,
  ): PeerResult<ProbeIndirectResponse> {
    return call(options, o => this.client.probeIndirect.mutate(req, o));
  }

  configuration(
    req: ConfigurationRequest,
    options: CallOptions,
  ): PeerResult<ConfigurationResponse> {
    return call(options, o => this.client.configuration.mutate(req, o));
  }

  announce(announcement: Announcement, options: CallOptions): PeerResult<void> {
    return call(options, o => this.client.announce.mutate(announcement, o));
  }

  ledger(req: LedgerRequest, options: CallOptions): PeerResult<LedgerResponse> {
    return call(options, o => this.client.ledger.mutate(req, o));
  }

  loan(req: LoanRequest, options: CallOptions): PeerResult<LoanResponse> {
    return call(options, o => this.client.loan.mutate(req, o));
  }

  report(report: FailoverReport, options: CallOptions): PeerResult<void> {
    return call(options, o => this.client.report.mutate(report, o));
  }

  forward(
    req: ForwardRequest,
    options: CallOptions,
  ): PeerResult<ForwardResponse> {
    return call(options, o => this.client.forward.mutate(req, o));
  }

  begin(req: BeginRequest, options: CallOptions): PeerResult<BeginResponse> {
    return call(options, o => this.client.begin.mutate(req, o));
  }

  executeIn(
    req: ExecuteInRequest,
    options: CallOptions,
  ): PeerResult<ForwardResponse> {
    return call(options, o => this.client.executeIn.mutate(req, o));
  }

  commit(
    req: CommitRequest,
    options: CallOptions,
  ): PeerResult<ForwardResponse> {
    return call(options, o => this.client.commit.mutate(req, o));
  }

  rollback(req: RollbackRequest, options: CallOptions): PeerResult<void> {
    return call(options, o => this.client.rollback.mutate(req, o));
  }

  keepAlive(req: KeepAliveRequest, options: CallOptions): PeerResult<void> {
    return call(options, o => this.client.keepAlive.mutate(req, o));
  }

  status(options: CallOptions): PeerResult<StatusResponse> {
    return call(options, o => this.client.status.mutate(undefined, o));
  }

  /** Closes the connections to the VM. */
  close(): void {
    this.agent.destroy();
  }
}
