import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

export type ListedVmState = 'live' | 'leaving';

/** A VM as the platform lists it. The list lags behind. */
export interface ListedVm {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address of the VM's peer port as `host:port`. */
  readonly address: string;
  readonly state: ListedVmState;
  /** Address of the VM's HTTP port, for `status` and `promote`. */
  readonly http?: string | undefined;
}

/** The platform's list of live and leaving VMs. */
export abstract class VmList {
  abstract read(): Promise<Result<readonly ListedVm[], PlatformError>>;
}
