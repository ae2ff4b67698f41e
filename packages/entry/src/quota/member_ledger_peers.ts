import type {Random} from '@pistachiorill/core';
import type {Row} from '@pistachiorill/store';
import type {MembershipView} from '../membership/membership_view.js';
import {PeerClients} from '../peers/peer_clients.js';
import {LedgerPeers} from './ledger_peers.js';

/** Asked one after the other, as the row of a large fleet is long. */
const ASKED_PEERS = 3;
const TIMEOUT_MS = 500;

/** Asks VMs that reported that they have the version in force. */
export class MemberLedgerPeers extends LedgerPeers {
  private readonly clients = new PeerClients();
  /** The addresses of running VMs with the ledger version in force there. */
  private applied: ReadonlyMap<string, number> = new Map();

  constructor(
    private readonly key: string,
    private readonly random: Random,
  ) {
    super();
  }

  /** Takes the VMs that may be asked. */
  viewChanged({peers, appliedLedgers}: MembershipView): void {
    this.applied = new Map(
      peers
        .filter(({state}) => state === 'alive' || state === 'suspect')
        .map(({peer}) => [
          peer.address,
          appliedLedgers.get(peer.instance) ?? 0,
        ]),
    );
    this.clients.retain(new Set(this.applied.keys()));
  }

  override async newer(version: number): Promise<Row | undefined> {
    const {key, random} = this;
    const left = [...this.applied]
      .filter(([, applied]) => applied >= version)
      .map(([address]) => address);
    for (let asked = 0; asked < ASKED_PEERS && left.length > 0; asked += 1) {
      const [address = ''] = left.splice(random.integer(0, left.length - 1), 1);
      const answer = await this.clients
        .to(address)
        .ledger({key, version}, {timeoutMs: TIMEOUT_MS});
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
