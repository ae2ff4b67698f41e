import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@pistachiorill/store';
import type {ObjectStore, TableService, VmList} from '@pistachiorill/store';

/** The platform as the operators' commands use it. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmList;
  readonly timeoutMs: number;
}

/** Opens the platform at a base address. */
export function openPlatform(baseUrl: string, timeoutMs: number): Platform {
  const endpoint = {baseUrl, timeoutMs};
  return {
    table: new HttpTableService(endpoint),
    objects: new HttpObjectStore(endpoint),
    vms: new HttpVmList(endpoint),
    timeoutMs,
  };
}
