import type {Connection} from 'mysql2/promise';

/** Writes numbered rows on each connection and records acknowledged ones. */
export class Writers {
  readonly acknowledged: Array<{id: number; sentAt: number; at: number}> = [];
  failures = 0;
  /** Shared by all instances, as each id is written once in a test run. */
  private static nextId = 1;
  private state: 'running' | 'stopped' = 'running';
  private readonly loops: Array<Promise<void>>;

  constructor(connections: readonly Connection[]) {
    this.loops = connections.map(connection => this.loop(connection));
  }

  async stop(): Promise<void> {
    this.state = 'stopped';
    await Promise.all(this.loops);
  }

  private async loop(connection: Connection): Promise<void> {
    while (this.state === 'running') {
      const id = Writers.nextId++;
      const begunAt = Date.now();
      const sql = `/*route='release'*/ INSERT INTO batch VALUES (${id})`;
      const done = await connection.query(sql).then(
        () => 'acknowledged',
        () => 'failed',
      );
      if (done === 'failed') this.failures += 1;
      if (done === 'acknowledged') {
        this.acknowledged.push({id, sentAt: begunAt, at: Date.now()});
      }
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }
}
