import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@pistachiorill/store';
import type {ObjectStore, TableService, VmList} from '@pistachiorill/store';

/** Clients for the platform services that the operators' commands use. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmList;
  /** Time limit of one request to the platform or to a VM. */
  readonly timeoutMs: number;
}

/** Creates the clients for a platform at `baseUrl`. */
export function openPlatform(baseUrl: string, timeoutMs: number): Platform {
  const endpoint = {baseUrl, timeoutMs};
  return {
    table: new HttpTableService(endpoint),
    objects: new HttpObjectStore(endpoint),
    vms: new HttpVmList(endpoint),
    timeoutMs,
  };
}
