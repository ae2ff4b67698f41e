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

interface Peer {
  readonly address: string;
  readonly agent: Agent;
  readonly client: TRPCClient<GatewayRouter>;
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

/** Calls the remote procedures of the other registered VMs. */
export class PeerSet {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly random: Random) {}

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

  /** Closes all connections to peers. */
  close(): void {
    for (const peer of this.peers.values()) peer.agent.destroy();
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
}

function newPeer(address: string): Peer {
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    timeout: IDLE_TIMEOUT_MS,
  });
  const client = createTRPCClient<GatewayRouter>({
    links: [peerLink<GatewayRouter>(address, agent)],
  });
  return {address, agent, client, failures: 0};
}
