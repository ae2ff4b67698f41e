import {sendHttpRequest} from './http_request.js';
import type {ListedVm, VmList} from './vm_list.js';
import {VM_STATUS_SCHEMA} from './vm_status.js';
import type {VmStatus} from './vm_status.js';

/** The result of a status request to one listed VM. */
export type VmStatusResult = {readonly listed: ListedVm} & (
  | {readonly kind: 'status'; readonly status: VmStatus}
  | {readonly kind: 'unreachable'; readonly detail: string}
);

const OK = 200;
/** Limits the burst of requests to a fleet of hundreds of VMs. */
const MAX_PARALLEL_REQUESTS = 32;

/**
 * Requests the status of every listed VM, in the order of the list. Returns
 * undefined if the list cannot be read.
 */
export async function readVmStatuses(
  list: VmList,
  timeoutMs: number,
): Promise<readonly VmStatusResult[] | undefined> {
  const vms = await list.read();
  if (!vms.ok) return undefined;
  const answers: VmStatusResult[] = [];
  const pending = [...vms.value.entries()];
  const worker = async (): Promise<void> => {
    for (let item = pending.shift(); item; item = pending.shift()) {
      answers[item[0]] = await readVmStatus(item[1], timeoutMs);
    }
  };
  await Promise.all(Array.from({length: MAX_PARALLEL_REQUESTS}, worker));
  return answers;
}

async function readVmStatus(
  listed: ListedVm,
  timeoutMs: number,
): Promise<VmStatusResult> {
  if (listed.http === undefined) {
    return {listed, kind: 'unreachable', detail: 'the list has no HTTP port'};
  }
  const endpoint = {baseUrl: `http://${listed.http}`, timeoutMs};
  const res = await sendHttpRequest(endpoint, '/status');
  if (!res.ok) {
    const {err} = res;
    const detail = err.kind === 'conflict' ? err.kind : err.detail;
    return {listed, kind: 'unreachable', detail};
  }
  if (res.value.status !== OK) {
    const detail = `HTTP status ${res.value.status}`;
    return {listed, kind: 'unreachable', detail};
  }
  const status = parseStatus(res.value.body);
  if (!status || status.vm !== listed.vm) {
    return {listed, kind: 'unreachable', detail: 'another program answered'};
  }
  return {listed, kind: 'status', status};
}

function parseStatus(body: string): VmStatus | undefined {
  try {
    return VM_STATUS_SCHEMA.safeParse(JSON.parse(body)).data;
  } catch {
    return undefined;
  }
}
