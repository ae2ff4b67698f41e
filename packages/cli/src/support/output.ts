/** The output of a command. Tests replace it to read what is printed. */
export interface Output {
  /** Results, on standard output. */
  readonly print: (line: string) => void;
  /** Errors and warnings, on standard error. */
  readonly warn: (line: string) => void;
}
