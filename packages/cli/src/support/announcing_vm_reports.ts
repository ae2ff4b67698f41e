import type {Environment, VmReport} from '@pistachiorill/core';
import {PeerClient} from '@pistachiorill/peers';
import {VmReports} from '@pistachiorill/store';
import type {VmList} from '@pistachiorill/store';

const TIMEOUT_MS = 1_000;

/**
 * Sends the version to every VM that can be reached before it asks which VMs
 * run it, so that a majority does not depend on the store reaching the VMs.
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
          {timeoutMs: TIMEOUT_MS},
        );
        client.close();
      }),
    );
  }
}
