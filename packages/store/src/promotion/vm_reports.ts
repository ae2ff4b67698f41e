import type {VmReport} from '@pistachiorill/core';

/** Asks the VMs which configuration they have applied. */
export abstract class VmReports {
  /**
   * Reads how far the version has come. Undefined when the list of VMs could
   * not be read.
   */
  abstract read(version: number): Promise<readonly VmReport[] | undefined>;
}
