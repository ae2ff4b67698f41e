import type {Environment, VmReport} from '@pistachiorill/core';
import {readVmStatuses} from '../read_vm_statuses.js';
import type {VmStatusResult} from '../read_vm_statuses.js';
import type {VmList} from '../vm_list.js';
import {VmReports} from './vm_reports.js';

/**
 * Reads the applied versions from the VMs over HTTP. The alternative, a status
 * row per VM in the table service, would cost one write per VM and change, and
 * no row could be written during an outage of the service.
 */
export class HttpVmReports extends VmReports {
  constructor(
    private readonly environment: Environment,
    private readonly list: VmList,
    private readonly timeoutMs: number,
  ) {
    super();
  }

  override async read(): Promise<readonly VmReport[] | undefined> {
    const answers = await readVmStatuses(this.list, this.timeoutMs);
    return answers
      ?.filter(
        answer =>
          answer.kind !== 'status' ||
          answer.status.environment === this.environment,
      )
      .map(toReport);
  }
}

function toReport(answer: VmStatusResult): VmReport {
  const {vm, dataCentre, state} = answer.listed;
  const common = {vm, dataCentre, platformState: state};
  return answer.kind === 'status'
    ? {...common, kind: 'applied', version: answer.status.version}
    : {...common, kind: 'unreachable', detail: answer.detail};
}
