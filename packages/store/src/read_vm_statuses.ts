import {httpCall} from './http_call.js';
import type {ListedVm, VmList} from './vm_list.js';
import {VM_STATUS_SCHEMA} from './vm_status.js';
import type {VmStatus} from './vm_status.js';

/** What came of asking one listed VM for its status. */
export type VmStatusAnswer = {readonly listed: ListedVm} & (
  | {readonly kind: 'status'; readonly status: VmStatus}
  | {readonly kind: 'unreachable'; readonly detail: string}
);

const OK = 200;
/** Requests at a time, so that a fleet of hundreds is not asked at once. */
const PARALLEL_REQUESTS = 32;

/** Asks each listed VM for its status; undefined without a list. */
export async function readVmStatuses(
  list: VmList,
  timeoutMs: number,
): Promise<readonly VmStatusAnswer[] | undefined> {
  const vms = await list.read();
  if (!vms.ok) return undefined;
  const answers: VmStatusAnswer[] = [];
  const waiting = [...vms.value.entries()];
  const worker = async (): Promise<void> => {
    for (let item = waiting.shift(); item; item = waiting.shift()) {
      answers[item[0]] = await readOne(item[1], timeoutMs);
    }
  };
  await Promise.all(Array.from({length: PARALLEL_REQUESTS}, worker));
  return answers;
}

async function readOne(
  listed: ListedVm,
  timeoutMs: number,
): Promise<VmStatusAnswer> {
  if (listed.http === undefined) {
    return {listed, kind: 'unreachable', detail: 'the list has no HTTP port'};
  }
  const endpoint = {baseUrl: `http://${listed.http}`, timeoutMs};
  const res = await httpCall(endpoint, '/status');
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
