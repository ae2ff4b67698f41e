/** The `pistachiorill` command-line program. */
export {runCli} from './run_cli.js';
export {EXIT_CODES} from './support/exit_code.js';
export type {ExitCode} from './support/exit_code.js';
export type {Output} from './support/output.js';
