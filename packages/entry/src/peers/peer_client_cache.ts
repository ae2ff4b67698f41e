import {PeerClient} from '@pistachiorill/peers';

/** The peer clients of one task, one for each address. */
export class PeerClientCache {
  private readonly clients = new Map<string, PeerClient>();

  /** Returns the client for an address, creating it on first use. */
  clientFor(address: string): PeerClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = new PeerClient(address);
    this.clients.set(address, client);
    return client;
  }

  /** Closes the clients of all other addresses. */
  retainOnly(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.clients) {
      if (addresses.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }

  /** Closes all clients. */
  close(): void {
    this.retainOnly(new Set());
  }
}
