import {ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {VmList} from '@pistachiorill/store';
import type {ListedVm, PlatformError} from '@pistachiorill/store';

/**
 * Keeps the last list that was read, so that a version that is in force can be
 * announced when the platform goes down right after the write.
 */
export class LastVmList extends VmList {
  private last: readonly ListedVm[] | undefined;

  constructor(private readonly list: VmList) {
    super();
  }

  override async read(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const vms = await this.list.read();
    if (vms.ok) this.last = vms.value;
    return vms.ok || !this.last ? vms : ok(this.last);
  }
}
