/** The exit codes of the program, which docs/operators documents. */
export const EXIT_CODES = {
  done: 0,
  /** The document or the settings file has errors. */
  invalid: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Another promotion came first, or the document was not in force in trial. */
  refused: 3,
  /** The platform is unavailable; nothing was changed. */
  unavailable: 4,
  /** The promotion may or may not be in force. */
  unknown: 5,
  /** The document is in force, but some live VMs have not applied it yet. */
  incomplete: 6,
  /** An unexpected exception. */
  fault: 7,
  /** `check` found warnings only. */
  warnings: 8,
} as const;

/** One of `EXIT_CODES`. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
