import type {ConfigurationVersion, Random} from '@pistachiorill/core';
import type {ConfigurationResponse} from '@pistachiorill/peers';
import type {MembershipView} from '../membership/membership_view.js';
import {PeerClientCache} from '../peers/peer_client_cache.js';
import {ConfigurationPeers} from './configuration_peers.js';

/** Peers asked at once; one that is reachable and up to date is enough. */
const MAX_ASKED_PEERS = 3;
const REQUEST_TIMEOUT_MS = 500;

type FoundAnswer = Extract<ConfigurationResponse, {kind: 'found'}>;

/** Asks up to three random VMs that are alive, suspect or only listed. */
export class FleetConfigurationPeers extends ConfigurationPeers {
  private readonly clients = new PeerClientCache();
  private addresses: readonly string[] = [];

  constructor(private readonly random: Random) {
    super();
  }

  /** Updates the VMs that may be asked. */
  applyMembership(view: MembershipView): void {
    this.addresses = [
      ...view.peers
        .filter(({state}) => state === 'alive' || state === 'suspect')
        .map(({peer}) => peer.address),
      ...view.candidates.map(peer => peer.address),
    ];
    this.clients.retainOnly(new Set(this.addresses));
  }

  override async fetchLatestVersion(): Promise<
    ConfigurationVersion | undefined
  > {
    const found = await this.askPeers(undefined);
    return found.sort((a, b) => b.version - a.version)[0];
  }

  override async body(hash: string): Promise<string | undefined> {
    const found = await this.askPeers(hash);
    return found.find(answer => answer.hash === hash)?.body;
  }

  close(): void {
    this.clients.close();
  }

  private async askPeers(hash: string | undefined): Promise<FoundAnswer[]> {
    const remaining = [...this.addresses];
    const chosen: string[] = [];
    while (chosen.length < MAX_ASKED_PEERS && remaining.length > 0) {
      const index = this.random.integer(0, remaining.length - 1);
      chosen.push(...remaining.splice(index, 1));
    }
    const req = hash === undefined ? {} : {hash};
    const answers = await Promise.all(
      chosen.map(address =>
        this.clients
          .clientFor(address)
          .configuration(req, {timeoutMs: REQUEST_TIMEOUT_MS}),
      ),
    );
    return answers.flatMap(answer =>
      answer.ok && answer.value.kind === 'found' ? [answer.value] : [],
    );
  }
}
