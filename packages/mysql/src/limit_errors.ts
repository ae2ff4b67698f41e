import type {ExceededLimit} from '@pistachiorill/core';

/** The fields of an error packet to a client. */
export interface ClientError {
  readonly errno: number;
  readonly sqlState: string;
  readonly message: string;
}

/** For a request that is larger than any that is read. */
export const OVERSIZED: ClientError = {
  errno: 1153,
  sqlState: '08S01',
  message: 'not run: too-large: the request exceeds the limit',
};

/** For a connection that is closed because others need its memory. */
export const OVERLOADED: ClientError = {
  errno: 1040,
  sqlState: '08004',
  message: 'not run: overloaded: this VM lacks memory for the request',
};

/** For a connection beyond the limit of the process. */
const TOO_MANY: ClientError = {
  errno: 1040,
  sqlState: '08004',
  message: 'not run: overloaded: too many connections',
};

/** The errors of the limits that differ from `OVERLOADED`. */
export const LIMIT_ERRORS: Readonly<
  Partial<Record<ExceededLimit, ClientError>>
> = {
  connections: TOO_MANY,
  logins: TOO_MANY,
  'address-connections': {
    ...TOO_MANY,
    message: 'not run: overloaded: too many connections from this address',
  },
  'packet-bytes': OVERSIZED,
  'login-bytes': OVERSIZED,
  'login-time': {
    errno: 1159,
    sqlState: '08S01',
    message: 'not run: the login took too long',
  },
  'packet-time': {
    errno: 1159,
    sqlState: '08S01',
    message: 'not run: the request took too long to arrive',
  },
};
