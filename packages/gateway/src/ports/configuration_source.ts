import type {Result, ServedConfiguration} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';

/** What the operators demand at present. */
export interface OperatorState {
  /** Undefined before the first configuration. */
  readonly configuration: ServedConfiguration | undefined;
  /** Data centres to whose members nothing is sent. */
  readonly dataCentresOut: ReadonlySet<string>;
  /** The encoded form, for VMs that cannot read the store. */
  readonly encoded: string;
  /** Grows with each change. */
  readonly revision: number;
}

/** Reads what operators put in force. */
export abstract class ConfigurationSource {
  /** Reads the present state. */
  abstract read(): Promise<Result<OperatorState, StoreReadError>>;
  /** Waits up to `waitMs` for a state other than the last one. */
  abstract next(waitMs: number): Promise<Result<OperatorState, StoreReadError>>;
  /** Reads the form that another VM passed on; undefined if unreadable. */
  abstract decode(encoded: string): OperatorState | undefined;
}
