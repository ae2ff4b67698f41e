import type {Result, RuntimeConfiguration} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';

/** The configuration and other operator decisions that are in force. */
export interface OperatorState {
  /** Undefined before the first configuration. */
  readonly configuration: RuntimeConfiguration | undefined;
  /** Data centres whose members receive no statements. */
  readonly dataCentresOut: ReadonlySet<string>;
  /** The encoded form, which is passed to VMs that cannot read the store. */
  readonly encoded: string;
  /** Increases with each change. */
  readonly revision: number;
}

/** Reads the operator state from the store. */
export abstract class ConfigurationSource {
  /** Reads the current state. */
  abstract read(): Promise<Result<OperatorState, StoreReadError>>;
  /** Waits up to `waitMs` for a state that differs from the last one read. */
  abstract next(waitMs: number): Promise<Result<OperatorState, StoreReadError>>;
  /** Decodes a state from another VM; returns undefined if that fails. */
  abstract decode(encoded: string): OperatorState | undefined;
}
