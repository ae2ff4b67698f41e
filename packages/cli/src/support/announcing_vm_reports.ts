import type {Environment, VmReport} from '@pistachiorill/core';
import {PeerClient} from '@pistachiorill/peers';
import {VmReports} from '@pistachiorill/store';
import type {VmList} from '@pistachiorill/store';

const ANNOUNCE_TIMEOUT_MS = 1_000;

/**
 * Announces a version to every reachable VM before it reads which VMs have
 * applied it. A majority can then apply the version even if the VMs cannot
 * reach the store.
 */
export class AnnouncingVmReports extends VmReports {
  private announcedVersion = 0;

  constructor(
    private readonly reports: VmReports,
    private readonly list: VmList,
    private readonly document: {
      readonly environment: Environment;
      readonly hash: string;
      readonly body: string;
    },
  ) {
    super();
  }

  override async read(
    version: number,
  ): Promise<readonly VmReport[] | undefined> {
    if (this.announcedVersion !== version) await this.announce(version);
    return this.reports.read(version);
  }

  private async announce(version: number): Promise<void> {
    const vms = await this.list.read();
    if (!vms.ok) return;
    this.announcedVersion = version;
    await Promise.all(
      vms.value.map(async ({address}) => {
        const client = new PeerClient(address);
        await client.announce(
          {version, ...this.document},
          {timeoutMs: ANNOUNCE_TIMEOUT_MS},
        );
        client.close();
      }),
    );
  }
}
