/** Whether a route accepts reads only, or writes as well. */
export type Access = 'read' | 'write';
/** Whether callers need the key of a workspace or may be anonymous. */
export type Audience = 'keyed' | 'open';
/** Which members must hold a write before it is acknowledged. */
export type Acknowledgement = 'majority' | 'primary';

/** The settings that apply to all statements of one route. */
export interface Route {
  readonly name: string;
  readonly access: Access;
  /** Whether executing the statement twice has the same effect as once. */
  readonly repeatable: boolean;
  readonly audience: Audience;
  /** The maximum age of the data that a read returns; 0 means current data. */
  readonly maxAgeMs: number;
  /** The time limit of a statement, from its receipt. */
  readonly deadlineMs: number;
  readonly acknowledge: Acknowledgement;
}

/**
 * The route of a statement that names none. It makes the safest assumptions: a
 * write with a key that must not be repeated.
 */
export const DEFAULT_ROUTE: Route = {
  name: 'default',
  access: 'write',
  repeatable: false,
  audience: 'keyed',
  maxAgeMs: 0,
  deadlineMs: 5_000,
  acknowledge: 'majority',
};
