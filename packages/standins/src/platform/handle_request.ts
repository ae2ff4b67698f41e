import type {ListedVm} from '@pistachiorill/store';
import type {PlatformFaultMode, PlatformState} from './platform_state.js';

/** The parts of an HTTP request that the platform evaluates. */
export interface PlatformRequest {
  readonly method: string;
  readonly url: URL;
  /** The row version that a write expects; 0 for a row that does not exist. */
  readonly ifMatch: string | undefined;
  readonly body: string;
}

/** The status code and body of an HTTP response. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: string;
}

/**
 * Executes one request to the table service, the object store, the VM list or
 * the fault settings.
 */
export function handleRequest(
  req: PlatformRequest,
  state: PlatformState,
): PlatformResponse {
  const [, area, name] = req.url.pathname.split('/');
  const key = decodeURIComponent(name ?? '');
  switch (`${req.method} ${area}`) {
    case 'GET table':
      return key === ''
        ? listRows(state, req.url.searchParams.get('prefix') ?? '')
        : json(state.rows.get(key));
    case 'PUT table':
      return writeRow(state, key, req);
    case 'GET objects':
      return key === ''
        ? listObjects(state, req.url.searchParams.get('prefix') ?? '')
        : text(state.objects.get(key));
    case 'PUT objects':
      state.objects.set(key, req.body);
      return {status: 200, body: ''};
    case 'GET vms':
      return json(state.vms);
    case 'PUT vms':
      state.vms = JSON.parse(req.body) as ListedVm[];
      return {status: 200, body: ''};
    case 'POST faults':
      return setFault(state, req.body);
    default:
      return {status: 404, body: ''};
  }
}

function listRows(state: PlatformState, prefix: string): PlatformResponse {
  const rows = [...state.rows.values()]
    .filter(row => row.key.startsWith(prefix))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  return json(rows);
}

function listObjects(state: PlatformState, prefix: string): PlatformResponse {
  return json(
    [...state.objects.keys()].filter(name => name.startsWith(prefix)).sort(),
  );
}

function writeRow(
  state: PlatformState,
  key: string,
  req: PlatformRequest,
): PlatformResponse {
  const current = state.rows.get(key);
  if ((current?.version ?? 0) !== Number(req.ifMatch)) {
    return {status: 412, body: current ? JSON.stringify(current) : ''};
  }
  const row = {key, value: req.body, version: (current?.version ?? 0) + 1};
  state.rows.set(key, row);
  return json(row);
}

function setFault(state: PlatformState, body: string): PlatformResponse {
  const req = JSON.parse(body) as {mode: PlatformFaultMode; slowMs?: number};
  state.fault = req.mode;
  state.slowMs = req.slowMs ?? state.slowMs;
  return {status: 200, body: ''};
}

function json(value: unknown): PlatformResponse {
  return value === undefined
    ? {status: 404, body: ''}
    : {status: 200, body: JSON.stringify(value)};
}

function text(value: string | undefined): PlatformResponse {
  return value === undefined
    ? {status: 404, body: ''}
    : {status: 200, body: value};
}
