/**
 * Data of other subsystems that is sent and received with probes. The
 * membership task passes it on without reading it.
 */
export interface GossipPayloads {
  /** Returns the groups whose primary this VM cannot reach. */
  readonly suspicions: () => unknown;
  /** Called with the suspicions of the VM that sent or answered a probe. */
  readonly onSuspicions: (
    vm: string,
    dataCentre: string,
    suspicions: unknown,
  ) => void;
  /** Returns the quota that this VM can lend. */
  readonly spareQuota: () => unknown;
  /** Called with the spare quota of the VM that sent or answered a probe. */
  readonly onSpareQuota: (
    vm: string,
    dataCentre: string,
    spareQuota: unknown,
  ) => void;
}

/** For a daemon that sends and receives no payloads. */
export const NO_PAYLOADS: GossipPayloads = {
  suspicions: () => undefined,
  onSuspicions: () => undefined,
  spareQuota: () => undefined,
  onSpareQuota: () => undefined,
};
