/** The settings of one stand-in member. */
export interface MemberConfig {
  readonly name: string;
  /** Address as `host:port`. */
  readonly address: string;
  /** Sessions that the member accepts, data and control connections together. */
  readonly connectionLimit: number;
  /** Statements that run at the same time. */
  readonly slots: number;
  /** Delay before the handshake of a new connection. */
  readonly connectDelayMs: number;
  /** How long each statement occupies a slot. */
  readonly statementMs: number;
  /** Delay between receiving and applying an entry on a replica. */
  readonly applyLagMs: number;
  /** Folder for the log, term and fence; without it a restart loses them. */
  readonly dataFolder?: string;
  /** HTTP port that serves the fault settings; without it none is opened. */
  readonly faultPort?: number;
  readonly dataUser: string;
  readonly dataPassword: string;
  readonly controlUser: string;
  readonly controlPassword: string;
}

/** Default settings of a stand-in member. */
export const DEFAULT_MEMBER_CONFIG: Omit<MemberConfig, 'name' | 'address'> = {
  connectionLimit: 15,
  slots: 2,
  connectDelayMs: 10,
  statementMs: 1,
  applyLagMs: 0,
  dataUser: 'proxy',
  dataPassword: 'proxy-password',
  controlUser: 'control',
  controlPassword: 'control-password',
};
