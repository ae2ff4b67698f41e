import type {VmReport} from '@pistachiorill/core';
import {VmReports} from './vm_reports.js';

/** For a promotion that waits for no VM, as before the first one starts. */
export class NoVmReports extends VmReports {
  override read(): Promise<readonly VmReport[]> {
    return Promise.resolve([]);
  }
}
