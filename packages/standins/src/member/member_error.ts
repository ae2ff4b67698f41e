/** Why a member refuses a request or fails to execute it. */
export type MemberError =
  | {readonly kind: 'read-only'; readonly detail: string}
  | {readonly kind: 'stale-term'; readonly detail: string}
  | {readonly kind: 'duplicate-key'; readonly detail: string}
  | {readonly kind: 'no-such-table'; readonly detail: string}
  | {readonly kind: 'lock-timeout'; readonly detail: string}
  | {readonly kind: 'too-many-connections'; readonly detail: string}
  | {readonly kind: 'access-denied'; readonly detail: string}
  | {readonly kind: 'statement'; readonly detail: string};

/** Returns the errno and SQLSTATE with which MySQL reports an error. */
export function mysqlErrorOf(err: MemberError): {
  errno: number;
  sqlState: string;
} {
  switch (err.kind) {
    case 'read-only':
    case 'stale-term':
      return {errno: 1290, sqlState: 'HY000'};
    case 'duplicate-key':
      return {errno: 1062, sqlState: '23000'};
    case 'no-such-table':
      return {errno: 1146, sqlState: '42S02'};
    case 'lock-timeout':
      return {errno: 1205, sqlState: 'HY000'};
    case 'too-many-connections':
      return {errno: 1040, sqlState: '08004'};
    case 'access-denied':
      return {errno: 1045, sqlState: '28000'};
    case 'statement':
      return {errno: 1064, sqlState: '42000'};
  }
}
