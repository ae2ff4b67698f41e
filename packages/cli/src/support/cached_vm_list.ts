import {ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {VmList} from '@pistachiorill/store';
import type {ListedVm, PlatformError} from '@pistachiorill/store';

/**
 * Returns the last list that was read if the platform is unavailable, so that a
 * version can be announced even if the platform fails right after the write.
 */
export class CachedVmList extends VmList {
  private lastRead: readonly ListedVm[] | undefined;

  constructor(private readonly list: VmList) {
    super();
  }

  override async read(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const vms = await this.list.read();
    if (vms.ok) this.lastRead = vms.value;
    return vms.ok || !this.lastRead ? vms : ok(this.lastRead);
  }
}
