import {ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {decodeResponse} from './decode_response.js';
import {sendHttpRequest} from './http_request.js';
import type {PlatformEndpoint} from './http_request.js';
import {ObjectStore} from './object_store.js';
import {NAMES_SCHEMA} from './platform_api.js';
import type {PlatformError} from './platform_error.js';

const NOT_FOUND = 404;

/** Accesses the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  constructor(private readonly endpoint: PlatformEndpoint) {
    super();
  }

  override async put(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>> {
    const res = await sendHttpRequest(this.endpoint, objectPath(name), {
      method: 'PUT',
      body,
    });
    return res.ok ? ok(undefined) : res;
  }

  override async get(
    name: string,
  ): Promise<Result<string | undefined, PlatformError>> {
    const res = await sendHttpRequest(this.endpoint, objectPath(name));
    if (!res.ok) return res;
    return ok(res.value.status === NOT_FOUND ? undefined : res.value.body);
  }

  override async list(
    prefix: string,
  ): Promise<Result<readonly string[], PlatformError>> {
    const query = new URLSearchParams({prefix});
    const res = await sendHttpRequest(this.endpoint, `/objects?${query}`);
    if (!res.ok) return res;
    return decodeResponse(NAMES_SCHEMA, res.value, 'unavailable');
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}
