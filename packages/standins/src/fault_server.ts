import {createServer} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';

/** The fault settings of one stand-in, which HTTP requests read and change. */
export interface FaultTarget {
  /** Returns the current settings; they are sent to the client as JSON. */
  readonly read: () => unknown;
  /** Merges the given fields into the current settings. */
  readonly change: (changes: object) => void;
}

/**
 * Serves `GET /faults` and `PUT /faults` of one stand-in. Both return the
 * settings that are in effect after the request.
 */
export function serveFaults(
  target: FaultTarget,
  host: string,
  port: number,
): Promise<Server> {
  const server = createServer((req, res) => {
    void readBody(req).then(body => {
      if (req.url !== '/faults') {
        res.writeHead(404).end();
        return;
      }
      if (req.method === 'PUT') target.change(JSON.parse(body) as object);
      res.writeHead(200).end(JSON.stringify(target.read()));
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}
