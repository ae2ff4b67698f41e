import type {PeerRecord, PeerState, VersionReport} from '@pistachiorill/core';

/** The state that a VM returns to the operators' program. */
export interface StatusResponse {
  readonly peer: PeerRecord;
  readonly versions: VersionReport;
  readonly confirmation: 'confirmed' | 'unconfirmed';
  readonly peers: ReadonlyArray<{
    readonly vm: string;
    readonly dataCentre: string;
    readonly state: PeerState;
  }>;
}
