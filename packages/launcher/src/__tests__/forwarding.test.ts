import {fileURLToPath} from 'node:url';
import {groupOwners} from '@pistachiorill/core';
import type {VmStatus} from '@pistachiorill/store';
import {createConnection} from 'mysql2/promise';
import {afterAll, beforeAll, describe, expect, it, vi} from 'vitest';
import {Fleet} from '../fleet.js';
import type {RunningVm} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);
const DATABASE = `${AUTHORITY_PROFILE.service}-1`;

describe('forwarding over separate processes', () => {
  const fleet = new Fleet(
    {...AUTHORITY_PROFILE, vmCount: 4, databaseCount: 1},
    BUILD_FOLDER,
    'owners',
  );
  let forwarder: RunningVm;
  let owner: RunningVm;

  beforeAll(async () => {
    await fleet.start();
    const owners = groupOwners(
      {database: DATABASE, connectionLimit: AUTHORITY_PROFILE.connectionLimit},
      'owners',
      fleet.vms.map(vm => ({vm: vm.name, dataCentre: vm.dataCentre})),
    ).map(item => item.vm);
    forwarder = fleet.vms.find(vm => !owners.includes(vm.name)) as RunningVm;
    owner = fleet.vms.find(
      vm => owners.includes(vm.name) && vm.dataCentre === forwarder.dataCentre,
    ) as RunningVm;
    await waitForOwners(fleet.vms.filter(vm => owners.includes(vm.name)));
    await waitUntilServed();
  });
  afterAll(() => fleet.stop());

  async function connect(vm: RunningVm) {
    const [workspace] = AUTHORITY_PROFILE.workspaces;
    return createConnection({
      host: '127.0.0.1',
      port: vm.clientPort,
      user: workspace?.name ?? '',
      password: workspace?.key ?? '',
      database: DATABASE,
    });
  }

  /**
   * Waits until all owners own the group. A new owner waits until earlier ones
   * have applied the ledger, so that one may start to serve before the others.
   */
  async function waitForOwners(owners: readonly RunningVm[]): Promise<void> {
    await vi.waitFor(
      async () => {
        const statuses = await Promise.all(owners.map(statusOf));
        for (const {groups} of statuses) {
          expect(groups.map(group => group.database)).toContain(DATABASE);
        }
      },
      {timeout: 10_000, interval: 50},
    );
  }

  async function statusOf(vm: RunningVm): Promise<VmStatus> {
    const res = await fetch(`http://127.0.0.1:${vm.httpPort}/status`);
    return (await res.json()) as VmStatus;
  }

  /** Waits until the forwarder can reach an owner. */
  async function waitUntilServed(): Promise<void> {
    const connection = await connect(forwarder);
    await vi.waitFor(
      () =>
        connection.query(
          'CREATE TABLE IF NOT EXISTS batch (id INTEGER, lot TEXT)',
        ),
      {timeout: 10_000, interval: 50},
    );
    await connection.end();
  }

  // Guards against a transaction that is split between connections, and
  // against a VM that cannot serve a group after the nearest owner died.
  it('forwards transactions, and through another owner if one dies', async () => {
    const connection = await connect(forwarder);
    await connection.query('BEGIN');
    await connection.query("INSERT INTO batch VALUES (1, 'A7')");
    await connection.query('ROLLBACK');
    await connection.query('BEGIN');
    await connection.query("INSERT INTO batch VALUES (2, 'B8')");
    await connection.query("INSERT INTO batch VALUES (3, '\u00e9')");
    await connection.query('COMMIT');
    const read = "/*route='invoice'*/ SELECT id, lot FROM batch ORDER BY id";
    const [before] = await connection.query(read);
    await owner.child.kill();
    const [after] = await connection.query(read);
    expect({before, after}).toMatchSnapshot();
    await connection.end();
  });
});
