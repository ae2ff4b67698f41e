import type {VmReport} from '@pistachiorill/core';

/** Reads which configuration version each VM has applied. */
export abstract class VmReports {
  /**
   * Reads the reports of all VMs while `version` is rolled out. Returns
   * undefined if the VM list cannot be read.
   */
  abstract read(version: number): Promise<readonly VmReport[] | undefined>;
}
