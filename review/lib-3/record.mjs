import {appendFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Writes what was sent, answered and run to `record.txt` of a case. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = Date.now();
    this.lines = [];
    writeFileSync(this.path, '');
  }

  note(text) {
    const s = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${s.padStart(8)} s  ${text}`);
    console.log(this.lines.at(-1));
  }

  /** Writes the notes. */
  flush() {
    if (this.lines.length === 0) return;
    appendFileSync(this.path, `${this.lines.join('\n')}\n`);
    this.lines = [];
  }
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Runs a case, ends all its processes and exits with its result. */
export async function runCase(folder, main) {
  const record = new Record(folder);
  const trouble = process.env.TROUBLE !== '0';
  record.note(`TROUBLE=${trouble ? 1 : 0}`);
  let platform;
  let code = 2;
  const timer = setTimeout(() => {
    record.note('the case took too long');
    finish(2);
  }, 117_000);
  const finish = async result => {
    clearTimeout(timer);
    try {
      await platform?.end();
    } finally {
      record.note(`exit ${result}`);
      record.flush();
      process.exit(result);
    }
  };
  for (const name of ['SIGTERM', 'SIGINT']) process.on(name, () => finish(2));
  try {
    code = await main({
      record,
      trouble,
      use: item => {
        platform = item;
        return item;
      },
    });
  } catch (err) {
    record.note(`could not run: ${err.stack ?? err}`);
  }
  await finish(code);
}
