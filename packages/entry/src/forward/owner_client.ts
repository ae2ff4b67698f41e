import type {FailoverReport, OwnerView, Result} from '@pistachiorill/core';
import type {
  BeginResponse,
  ForwardResponse,
  PeerError,
  WireStatement,
} from '@pistachiorill/peers';
import {PeerClientCache} from '../peers/peer_client_cache.js';

/** Time limit for sending one failover report. */
const REPORT_TIMEOUT_MS = 500;

/** An owner of a group and the address at which it is called. */
export interface OwnerTarget extends OwnerView {
  readonly address: string;
}

/** The calls to owners of groups. Tests replace them with a fake. */
export abstract class OwnerClient {
  /** Executes an autocommit statement at the owner. */
  abstract forward(
    owner: OwnerTarget,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>>;

  /** Opens a transaction at the owner. */
  abstract begin(
    owner: OwnerTarget,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<BeginResponse, PeerError>>;

  /** Executes a statement in a transaction that the owner has open. */
  abstract executeIn(
    owner: OwnerTarget,
    transaction: string,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>>;

  /** Commits a transaction. The owner must finish within `remainingMs`. */
  abstract commit(
    owner: OwnerTarget,
    transaction: string,
    remainingMs: number,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>>;

  /** Rolls a transaction back. */
  abstract rollback(
    owner: OwnerTarget,
    transaction: string,
    timeoutMs: number,
  ): Promise<Result<void, PeerError>>;

  /** Lists the open transactions of this VM, which the owner then keeps. */
  abstract keepAlive(
    owner: OwnerTarget,
    transactions: readonly string[],
    timeoutMs: number,
  ): Promise<Result<void, PeerError>>;
}

/** Calls the owners over tRPC. */
export class TrpcOwnerClient extends OwnerClient {
  private readonly clients = new PeerClientCache();

  override forward(
    owner: OwnerTarget,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>> {
    return this.clientOf(owner).forward({statement}, {timeoutMs});
  }

  override begin(
    owner: OwnerTarget,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<BeginResponse, PeerError>> {
    return this.clientOf(owner).begin({statement}, {timeoutMs});
  }

  override executeIn(
    owner: OwnerTarget,
    transaction: string,
    statement: WireStatement,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>> {
    return this.clientOf(owner).executeIn(
      {transaction, statement},
      {timeoutMs},
    );
  }

  override commit(
    owner: OwnerTarget,
    transaction: string,
    remainingMs: number,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>> {
    return this.clientOf(owner).commit({transaction, remainingMs}, {timeoutMs});
  }

  override rollback(
    owner: OwnerTarget,
    transaction: string,
    timeoutMs: number,
  ): Promise<Result<void, PeerError>> {
    return this.clientOf(owner).rollback({transaction}, {timeoutMs});
  }

  override keepAlive(
    owner: OwnerTarget,
    transactions: readonly string[],
    timeoutMs: number,
  ): Promise<Result<void, PeerError>> {
    const req = {transactions: [...transactions]};
    return this.clientOf(owner).keepAlive(req, {timeoutMs});
  }

  /** Sends a failover report once. The next one replaces a lost report. */
  async report(owner: OwnerTarget, report: FailoverReport): Promise<void> {
    await this.clientOf(owner).report(report, {timeoutMs: REPORT_TIMEOUT_MS});
  }

  close(): void {
    this.clients.close();
  }

  private clientOf(owner: OwnerTarget) {
    return this.clients.clientFor(owner.address);
  }
}
