import {createServer} from 'node:net';

export const HOST = '127.0.0.1';

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}

/** Listens on a free port; returns the address. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(`${HOST}:${server.address().port}`));
  });
}

/** Returns ports that were free a moment ago. */
export async function freePorts(count) {
  const servers = Array.from({length: count}, () => createServer());
  const addresses = await Promise.all(servers.map(listen));
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return addresses.map(address => Number(address.split(':')[1]));
}
