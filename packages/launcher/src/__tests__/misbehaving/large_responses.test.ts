import {createServer, request} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {BOUNDED, MeasuredVm} from './measured_vm.js';

const CHUNK = Buffer.alloc(1_048_576, ' ');
const CROWD_MS = 8_000;
const RECOVERY_MS = 4_000;

const servers: Server[] = [];
let vm: MeasuredVm | undefined;

afterEach(async () => {
  await vm?.stop();
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

async function listen(
  answer: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<string> {
  const server = createServer(answer);
  servers.push(server);
  await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Answers with blanks for as long as the other side reads. */
function answerWithoutEnd(req: IncomingMessage, res: ServerResponse): void {
  req.resume();
  res.writeHead(200, {'content-type': 'application/json'});
  const write = (): void => {
    while (!res.destroyed && res.write(CHUNK));
  };
  res.on('drain', write);
  res.on('error', () => undefined);
  write();
}

function crowdTime(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, CROWD_MS));
}

// Guards against answers of the store that are larger than expected.
it('a store whose answers do not end', async () => {
  let platformOf = (): string => '';
  let mode: 'pass' | 'endless' = 'pass';
  const address = await listen((req, res) => {
    if (mode === 'endless') {
      answerWithoutEnd(req, res);
      return;
    }
    const url = `${platformOf()}${req.url}`;
    const {method, headers} = req;
    const passed = request(url, {method, headers}, from => {
      res.writeHead(from.statusCode ?? 500, from.headers);
      from.pipe(res);
    });
    passed.on('error', () => res.destroy());
    req.pipe(passed);
  });
  vm = await MeasuredVm.start(`http://${address}`, fleet => {
    platformOf = () => fleet.platformUrl;
  });
  mode = 'endless';
  await crowdTime();
  // The VM refuses statements while it cannot confirm the granted keys.
  mode = 'pass';
  await new Promise(resolve => setTimeout(resolve, RECOVERY_MS));
  expect(await vm.finish('endless answers of the store')).toEqual(BOUNDED);
});

// Guards against answers of a VM that are larger than expected.
it('a peer whose answers do not end', async () => {
  const addresses = [];
  for (let index = 0; index < 6; index += 1) {
    addresses.push(await listen(answerWithoutEnd));
  }
  vm = await MeasuredVm.start();
  const {fleet} = vm;
  await fleet.publishVmList([
    ...fleet.vms,
    ...addresses.map((address, index) => ({
      name: `endless-${index}`,
      dataCentre: fleet.profile.dataCentres[0] ?? '',
      clientPort: 0,
      httpPort: 1,
      peerPort: Number(address.split(':')[1]),
    })),
  ]);
  await crowdTime();
  expect(await vm.finish('endless answers of peers')).toEqual(BOUNDED);
});
