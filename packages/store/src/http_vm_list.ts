import {ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {sendHttpRequest} from './http_request.js';
import type {PlatformEndpoint} from './http_request.js';
import {LISTED_VMS_SCHEMA} from './platform_api.js';
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
    return ok(LISTED_VMS_SCHEMA.parse(JSON.parse(res.value.body)));
  }
}
