import type {Random} from '@pistachiorill/core';
import {KEYS_PER_WORKSPACE} from '@pistachiorill/platform/standins';
import type {CloseRequestReaction} from '@pistachiorill/platform/standins';

/** How a caller spaces its operations, and how long it keeps a session. */
export abstract class CallerPace {
  /** The caller opens a new session after this many operations. */
  abstract readonly operationsPerSession: number;
  /** The share of operations that are transactions. */
  abstract readonly transactionShare: number;
  /** The share of statements that a member takes long to execute. */
  abstract readonly slowShare: number;
  /** The number of keys of a workspace from which sessions choose. */
  abstract readonly keys: number;
  readonly onCloseRequest: CloseRequestReaction = 'closes';
  /** The times from connecting to STARTUP from which sessions choose. */
  readonly startUpDelaysMs: readonly number[] = [0];

  /** The pause between two operations of a session; 0 is no pause at all. */
  abstract pauseMs(random: Random): number;

  /** The pause between two statements of a transaction. */
  abstract transactionPauseMs(random: Random): number;
}

const MAX_ROAMING_PAUSE_MS = 60;

/** Leaves its sessions after some operations, and connects to another VM. */
export class RoamingPace extends CallerPace {
  override readonly operationsPerSession = 25;
  override readonly transactionShare = 0.3;
  override readonly slowShare = 0;
  override readonly keys = 2;

  override pauseMs(random: Random): number {
    return random.integer(0, MAX_ROAMING_PAUSE_MS);
  }

  override transactionPauseMs(random: Random): number {
    return random.integer(0, MAX_ROAMING_PAUSE_MS);
  }
}

/** Keeps its sessions until the process at the other end closes them. */
abstract class HoldingPace extends CallerPace {
  override readonly operationsPerSession = Infinity;
  override readonly keys = KEYS_PER_WORKSPACE;
  override readonly slowShare: number = 0.1;
}

/** Idle for most of the time; a drain finds its sessions between operations. */
export class IdlePace extends HoldingPace {
  override readonly transactionShare = 0.2;

  override pauseMs(random: Random): number {
    return random.integer(100, 2_000);
  }

  override transactionPauseMs(random: Random): number {
    return random.integer(0, 200);
  }
}

/** Inside transactions for most of the time, up to the time limit of routes. */
export class TransactionPace extends HoldingPace {
  override readonly transactionShare = 1;

  override pauseMs(random: Random): number {
    return random.integer(0, 300);
  }

  override transactionPauseMs(random: Random): number {
    return random.integer(0, 1_500);
  }
}

/** The share of pauses in which an eager caller lets others be served. */
const LONG_PAUSE_SHARE = 0.05;

/**
 * Sends the next request as soon as it has the answer, often in the same turn of
 * the event loop, so that requests cross what the process sends to end a session.
 */
export class EagerPace extends HoldingPace {
  override readonly transactionShare = 0.1;
  override readonly slowShare = 0.02;

  override pauseMs(random: Random): number {
    if (random.fraction() < LONG_PAUSE_SHARE) return random.integer(50, 400);
    return random.integer(0, 2);
  }

  override transactionPauseMs(random: Random): number {
    return random.integer(0, 2);
  }
}

/** Does not close when it is asked to, and goes on sending requests. */
export class StayingPace extends HoldingPace {
  override readonly transactionShare = 0.2;
  override readonly onCloseRequest = 'stays';

  override pauseMs(random: Random): number {
    return random.integer(0, 200);
  }

  override transactionPauseMs(random: Random): number {
    return random.integer(0, 200);
  }
}

/** Longer than a process waits for STARTUP before it disconnects the caller. */
const NEVER_MS = 12_000;

/** Sends STARTUP late or never. */
export class LatePace extends IdlePace {
  override readonly startUpDelaysMs = [300, 1_000, 2_000, NEVER_MS];
}

/** The paces of callers that hold their sessions, assigned in rotation. */
export const HOLDING_PACES: readonly CallerPace[] = [
  new IdlePace(),
  new TransactionPace(),
  new EagerPace(),
  new StayingPace(),
  new LatePace(),
];
