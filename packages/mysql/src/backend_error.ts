/** Why a statement on a backend server has no result. */
export type BackendError =
  /** The statement was not sent, or the backend server refused to execute it. */
  | {readonly kind: 'not-run'; readonly errno: number; readonly detail: string}
  /** The backend server executed the statement and returned an error. */
  | {
      readonly kind: 'statement-error';
      readonly errno: number;
      readonly sqlState: string;
      readonly detail: string;
    }
  /** The statement was sent and no complete response arrived. */
  | {readonly kind: 'lost'; readonly detail: string};

/** MySQL error numbers that the code handles specially. */
export const MYSQL_ERRNO = {
  deadlock: 1213,
  duplicateKey: 1062,
  lockWaitTimeout: 1205,
  noSuchTable: 1146,
  optionPreventsStatement: 1290,
  tooManyConnections: 1040,
} as const;
