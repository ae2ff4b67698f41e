import {Agent} from 'node:http';
import {fail} from '@pistachiorill/core';
import type {
  LogPosition,
  PrimaryObservation,
  Random,
  Result,
} from '@pistachiorill/core';
import {callPeer, peerLink} from '@pistachiorill/peers';
import type {PeerError} from '@pistachiorill/peers';
import {createTRPCClient} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
} from '../owners/forward_schema.js';
import {OwnerClient} from '../owners/owner_client.js';
import type {RelayRequest, RelayedRows} from '../fleet/relayed_rows.js';
import type {RelayedPositions} from '../fleet/position_task.js';
import type {RelayedMembers} from '../operators/directory_task.js';
import type {RelayedConfiguration, UsageAnswer} from './gateway_handlers.js';
import type {
  ConfigurationRequest,
  DirectoryRequest,
  GatewayRouter,
  KeptCounts,
  StopRequest,
} from './gateway_router.js';

/** The address where a VM listens for its peers. */
export interface PeerAddress {
  readonly vm: string;
  readonly address: string;
}

/** The connections to a peer, and the client that uses them. */
interface PeerConnections {
  readonly agent: Agent;
  readonly client: TRPCClient<GatewayRouter>;
}

interface Peer extends PeerConnections {
  readonly address: string;
  /** Apart, as they end earlier when this VM stops. */
  readonly statements: PeerConnections;
  /** Calls in a row without an answer. */
  failures: number;
}

type Answer<T> = Promise<Result<T, PeerError>>;

/**
 * After this many failures in a row a peer counts as unresponsive; it is then
 * sampled last.
 */
const MAX_CONSECUTIVE_FAILURES = 2;
const IDLE_TIMEOUT_MS = 30_000;
/**
 * An owner that accepts no connection within this time is dark; a longer wait
 * would use up the latency target of a write, which is not hedged.
 */
const OWNER_CONNECT_TIMEOUT_MS = 250;

/** Statements at a VM that is not registered any more may last this long. */
const STATEMENTS_END_MS = 10_000;

/** Calls the remote procedures of the other registered VMs. */
export class PeerSet extends OwnerClient {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly random: Random) {
    super();
  }

  /** Names of the other VMs that are registered. */
  get names(): readonly string[] {
    return [...this.peers.keys()];
  }

  /** Replaces the set of peers; keeps connections to unchanged addresses. */
  update(addresses: readonly PeerAddress[]): void {
    const listed = new Map(addresses.map(item => [item.vm, item.address]));
    for (const [vm, peer] of this.peers) {
      if (listed.get(vm) === peer.address) continue;
      peer.agent.destroy();
      // The store may only have gone back to a copy without the VM's row; the
      // outcome of the statements under way would be lost.
      setTimeout(
        () => peer.statements.agent.destroy(),
        STATEMENTS_END_MS,
      ).unref();
      this.peers.delete(vm);
    }
    for (const [vm, address] of listed) {
      if (!this.peers.has(vm)) this.peers.set(vm, newPeer(address));
    }
  }

  /**
   * Picks peers at random, only from `among` if given. The preferred peer and
   * responsive ones come first.
   */
  sample(
    count: number,
    preferred: string | undefined,
    among?: readonly string[],
  ): readonly string[] {
    const candidates = (among ?? this.names).filter(vm => this.peers.has(vm));
    const names = candidates
      .map(vm => ({
        vm,
        rank:
          (vm === preferred ? -1 : 0) +
          (this.isUnresponsive(vm) ? 1 : 0) +
          this.random.fraction() / 2,
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(item => item.vm);
    return names.slice(0, count);
  }

  /** Whether the last calls to a peer got no answer. */
  isUnresponsive(vm: string): boolean {
    return (this.peers.get(vm)?.failures ?? 0) >= MAX_CONSECUTIVE_FAILURES;
  }

  /**
   * Asks a VM to stop using a primary; returns the last log position that the VM
   * observed at it.
   */
  stopPrimary(
    vm: string,
    req: StopRequest,
    timeoutMs: number,
  ): Answer<{readonly seen: LogPosition | null}> {
    return this.call(vm, timeoutMs, (c, o) => c.stopPrimary.mutate(req, o));
  }

  /** Asks a VM for its primary observation. */
  sight(
    vm: string,
    group: string,
    timeoutMs: number,
  ): Answer<PrimaryObservation> {
    return this.call(vm, timeoutMs, (c, o) => c.sight.mutate({group}, o));
  }

  /** Asks the coordinator to evaluate a group's primary. */
  suspect(vm: string, group: string, timeoutMs: number): Answer<void> {
    return this.call(vm, timeoutMs, (c, o) => c.suspect.mutate({group}, o));
  }

  /** Checks whether a VM answers. */
  ping(vm: string, timeoutMs: number): Answer<void> {
    return this.call(vm, timeoutMs, (c, o) => c.ping.mutate(undefined, o));
  }

  /** Asks a VM for changes of the shared rows. */
  relay(
    vm: string,
    req: RelayRequest,
    timeoutMs: number,
  ): Answer<RelayedRows | null> {
    return this.call(vm, timeoutMs, (c, o) => c.relay.mutate(req, o));
  }

  /** Asks a VM for a state of the operators that is newer than a revision. */
  configuration(
    vm: string,
    req: ConfigurationRequest,
    timeoutMs: number,
  ): Answer<RelayedConfiguration | null> {
    return this.call(vm, timeoutMs, (c, o) => c.configuration.mutate(req, o));
  }

  /** Asks a VM for its list of members. */
  directory(
    vm: string,
    req: DirectoryRequest,
    timeoutMs: number,
  ): Answer<RelayedMembers | null> {
    return this.call(vm, timeoutMs, (c, o) => c.directory.mutate(req, o));
  }

  /** Asks a VM for the log positions of the primaries that it knows. */
  positions(vm: string, timeoutMs: number): Answer<RelayedPositions> {
    return this.call(vm, timeoutMs, (c, o) => c.positions.mutate(undefined, o));
  }

  /** Asks a VM to transfer tokens of a workspace to this one. */
  tokens(
    vm: string,
    workspace: string,
    asked: number,
    timeoutMs: number,
  ): Answer<number> {
    return this.call(vm, timeoutMs, (c, o) =>
      c.tokens.mutate({workspace, asked}, o),
    );
  }

  /** Asks a VM for the counts of a window that it has. */
  usage(
    vm: string,
    window: number,
    timeoutMs: number,
  ): Answer<UsageAnswer | null> {
    return this.call(vm, timeoutMs, (c, o) => c.usage.mutate({window}, o));
  }

  /** Asks a VM to keep the counts of this process. */
  keepUsage(vm: string, counts: KeptCounts, timeoutMs: number): Answer<void> {
    return this.call(vm, timeoutMs, (c, o) => c.keepUsage.mutate(counts, o));
  }

  override execute(
    vm: string,
    req: ExecuteRequest,
    timeoutMs: number,
  ): Answer<ForwardAnswer> {
    return this.callOwner(vm, timeoutMs, (c, o) => c.execute.mutate(req, o));
  }

  override executeIn(
    vm: string,
    req: ExecuteInRequest,
    timeoutMs: number,
  ): Answer<ForwardAnswer> {
    return this.callOwner(vm, timeoutMs, (c, o) => c.executeIn.mutate(req, o));
  }

  override endTransaction(
    vm: string,
    req: EndTransactionRequest,
    timeoutMs: number,
  ): Answer<void> {
    return this.callOwner(vm, timeoutMs, (c, o) =>
      c.endTransaction.mutate(req, o),
    );
  }

  /** Ends the calls to owners that are under way, without their answers. */
  closeStatements(): void {
    for (const {statements} of this.peers.values()) statements.agent.destroy();
  }

  /** Closes all connections to peers. */
  close(): void {
    for (const {agent, statements} of this.peers.values()) {
      agent.destroy();
      statements.agent.destroy();
    }
    this.peers.clear();
  }

  private async call<T>(
    vm: string,
    timeoutMs: number,
    send: (client: TRPCClient<GatewayRouter>, options: object) => Promise<T>,
  ): Answer<T> {
    const peer = this.peers.get(vm);
    if (!peer) return fail({kind: 'unreachable', detail: `unknown VM ${vm}`});
    const result = await callPeer({timeoutMs}, options =>
      send(peer.client, options),
    );
    peer.failures = result.ok ? 0 : peer.failures + 1;
    return result;
  }

  /** Calls an owner, whose health `OwnerCalls` records. */
  private async callOwner<T>(
    vm: string,
    timeoutMs: number,
    send: (client: TRPCClient<GatewayRouter>, options: object) => Promise<T>,
  ): Answer<T> {
    const peer = this.peers.get(vm);
    if (!peer) return fail({kind: 'unreachable', detail: `unknown VM ${vm}`});
    return callPeer(
      {timeoutMs, connectTimeoutMs: OWNER_CONNECT_TIMEOUT_MS},
      options => send(peer.statements.client, options),
    );
  }
}

function newPeer(address: string): Peer {
  const statements = newConnections(address);
  return {address, ...newConnections(address), statements, failures: 0};
}

function newConnections(address: string): PeerConnections {
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    timeout: IDLE_TIMEOUT_MS,
  });
  const client = createTRPCClient<GatewayRouter>({
    links: [peerLink<GatewayRouter>(address, agent)],
  });
  return {agent, client};
}
