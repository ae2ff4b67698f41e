const MIB = 1_048_576;
/**
 * Memory that a process needs apart from its clients' data, in MiB: 75 MB
 * measured at rest, and room for the garbage collector to lag behind.
 */
const BASE_MB = 110;
/**
 * The part of the remaining memory that each of the three budgets gets. Copies
 * and garbage take more than the bytes that are counted: with 0.2 a process with
 * 200 MB reached 226 MB.
 */
const SHARE = 0.12;
/** The largest legal message must always fit. */
const MIN_BUDGET_BYTES = 4 * MIB;
/** Strings lie on the heap, which --max-old-space-size=160 limits. */
const MAX_BUDGET_BYTES = 32 * MIB;
/** From this part of a budget on, connections that use much have to wait. */
const HIGH_PART = 0.75;

/** How many bytes of clients' data a process may hold, by direction. */
export interface ProcessBudget {
  /** Received from clients and not answered yet, and kept for sessions. */
  readonly inboundBytes: number;
  /** Answers that clients have not read. */
  readonly outboundBytes: number;
  /** Answers of members that are not complete. */
  readonly answerBytes: number;
}

/** How close the use of a budget is to its end. */
export type Pressure = 'none' | 'high' | 'exceeded';

/** Derives the budget of a process from the memory of its machine. */
export function deriveProcessBudget(memoryMb: number): ProcessBudget {
  const bytes = Math.floor((memoryMb - BASE_MB) * SHARE * MIB);
  const budget = Math.min(MAX_BUDGET_BYTES, Math.max(MIN_BUDGET_BYTES, bytes));
  return {inboundBytes: budget, outboundBytes: budget, answerBytes: budget};
}

/** Compares the use of a budget with its size. */
export function pressureOf(usedBytes: number, budgetBytes: number): Pressure {
  if (usedBytes >= budgetBytes) return 'exceeded';
  return usedBytes >= relievedBytes(budgetBytes) ? 'high' : 'none';
}

/** The use down to which a budget is relieved once it is exceeded. */
export function relievedBytes(budgetBytes: number): number {
  return budgetBytes * HIGH_PART;
}
