import type {VmReport} from '@pistachiorill/core';
import {VmReports} from './vm_reports.js';

/**
 * Reports no VMs, for a promotion that waits for none, such as one before the
 * first VM starts.
 */
export class NoVmReports extends VmReports {
  override read(): Promise<readonly VmReport[]> {
    return Promise.resolve([]);
  }
}
