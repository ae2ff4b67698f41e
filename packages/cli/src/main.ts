import {runCli} from './run_cli.js';
import {EXIT_CODES} from './support/exit_code.js';

const OUTPUT = {
  print: (line: string) => console.log(line),
  warn: (line: string) => console.error(line),
};

// The single executable is built as CommonJS, which has no top-level await.
runCli(process.argv.slice(2), import.meta.url, OUTPUT).then(
  code => process.exit(code),
  (err: unknown) => {
    console.error(err);
    process.exit(EXIT_CODES.fault);
  },
);
