import {ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {decodeResponse} from './decode_response.js';
import {sendHttpRequest} from './http_request.js';
import type {PlatformEndpoint} from './http_request.js';
import {LISTED_VM_SCHEMA, VM_LIST_SCHEMA} from './platform_api.js';
import type {PlatformError} from './platform_error.js';
import {VmList} from './vm_list.js';
import type {ListedVm} from './vm_list.js';

/** Reads the platform's VM list over HTTP. */
export class HttpVmList extends VmList {
  constructor(private readonly endpoint: PlatformEndpoint) {
    super();
  }

  override async read(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const res = await sendHttpRequest(this.endpoint, '/vms');
    if (!res.ok) return res;
    const entries = decodeResponse(VM_LIST_SCHEMA, res.value, 'unavailable');
    if (!entries.ok) return entries;
    return ok(
      entries.value.flatMap(
        entry => LISTED_VM_SCHEMA.safeParse(entry).data ?? [],
      ),
    );
  }
}
