/** The kinds of requests that clients send. */
export type RequestKind =
  'write' | 'note' | 'strict-read' | 'stale-read' | 'own-read' | 'transaction';

/** The frequency and the cost of a kind of request. */
export interface RequestShape {
  /** Share of the requests, in percent. */
  readonly weight: number;
  /** Statements per request, including the one that reads the token. */
  readonly statements: number;
}

/** The mix of requests of each workspace; the weights add up to 100. */
export const REQUEST_MIX: Readonly<Record<RequestKind, RequestShape>> = {
  write: {weight: 25, statements: 2},
  note: {weight: 10, statements: 2},
  'strict-read': {weight: 10, statements: 1},
  'stale-read': {weight: 40, statements: 1},
  'own-read': {weight: 10, statements: 1},
  transaction: {weight: 5, statements: 5},
};

/** Kinds that write; an acknowledgement of one ends a write gap. */
export const WRITE_KINDS: ReadonlySet<RequestKind> = new Set<RequestKind>([
  'write',
  'note',
  'transaction',
]);
