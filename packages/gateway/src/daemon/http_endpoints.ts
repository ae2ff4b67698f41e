import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {Registry} from 'prom-client';

/** Serves the metrics in text format on every path. */
export function serveMetrics(address: string, registry: Registry): Server {
  const server = createServer((req, res) => {
    registry.metrics().then(
      text => {
        res.writeHead(200, {'content-type': registry.contentType});
        res.end(text);
      },
      () => {
        res.writeHead(500);
        res.end();
      },
    );
    req.resume();
  });
  return listenOn(server, address);
}

/** Makes a server listen on an address of the form `host:port`. */
export function listenOn(server: Server, address: string): Server {
  const separator = address.lastIndexOf(':');
  server.listen(
    Number(address.slice(separator + 1)),
    address.slice(0, separator),
  );
  return server;
}
