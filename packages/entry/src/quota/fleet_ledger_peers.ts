import type {Random} from '@pistachiorill/core';
import type {Row} from '@pistachiorill/store';
import type {MembershipView} from '../membership/membership_view.js';
import {PeerClientCache} from '../peers/peer_client_cache.js';
import {LedgerPeers} from './ledger_peers.js';

/** Peers are asked one at a time, as the row of a large fleet is long. */
const MAX_ASKED_PEERS = 3;
const REQUEST_TIMEOUT_MS = 500;

/** Asks up to three random VMs that have reported a high enough version. */
export class FleetLedgerPeers extends LedgerPeers {
  private readonly clients = new PeerClientCache();
  /** The applied ledger version by address of alive and suspect VMs. */
  private applied: ReadonlyMap<string, number> = new Map();

  constructor(
    private readonly key: string,
    private readonly random: Random,
  ) {
    super();
  }

  /** Updates the VMs that may be asked. */
  applyMembership({peers, appliedLedgers}: MembershipView): void {
    this.applied = new Map(
      peers
        .filter(({state}) => state === 'alive' || state === 'suspect')
        .map(({peer}) => [
          peer.address,
          appliedLedgers.get(peer.instance) ?? 0,
        ]),
    );
    this.clients.retainOnly(new Set(this.applied.keys()));
  }

  override async fetchRow(version: number): Promise<Row | undefined> {
    const {key, random} = this;
    const remaining = [...this.applied]
      .filter(([, applied]) => applied >= version)
      .map(([address]) => address);
    for (
      let asked = 0;
      asked < MAX_ASKED_PEERS && remaining.length > 0;
      asked += 1
    ) {
      const [address = ''] = remaining.splice(
        random.integer(0, remaining.length - 1),
        1,
      );
      const answer = await this.clients
        .clientFor(address)
        .ledger({key, version}, {timeoutMs: REQUEST_TIMEOUT_MS});
      if (!answer.ok || answer.value.kind === 'missing') continue;
      const {value} = answer.value;
      return {key, value, version: answer.value.version};
    }
    return undefined;
  }

  close(): void {
    this.clients.close();
  }
}
