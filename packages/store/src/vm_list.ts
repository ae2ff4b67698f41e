import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** The state that the platform's list states for a VM. */
export type ListedVmState = 'live' | 'leaving';

/** An entry of the platform's VM list, which may be out of date. */
export interface ListedVm {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address of the VM's peer port as `host:port`. */
  readonly address: string;
  readonly state: ListedVmState;
  /** `host:port` of the VM's HTTP port, used by `status` and `promote`. */
  readonly http?: string | undefined;
}

/** The platform's list of live and leaving VMs. */
export abstract class VmList {
  abstract read(): Promise<Result<readonly ListedVm[], PlatformError>>;
}
