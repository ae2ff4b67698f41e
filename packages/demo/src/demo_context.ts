import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import type {Fleet, RunningVm, WorkspaceProfile} from '@pistachiorill/launcher';

/** Credentials of a caller; the default is the first workspace and its key. */
export interface Login {
  readonly workspace?: string;
  readonly key?: string;
}

/** The fleet and the open connections, which the steps of the demo share. */
export class DemoContext {
  private readonly open: Connection[] = [];

  constructor(readonly fleet: Fleet) {}

  /** The first workspace of the profile. */
  get workspace(): WorkspaceProfile {
    const [first] = this.fleet.profile.workspaces;
    if (!first) throw new Error('the profile has no workspace');
    return first;
  }

  /** Returns the first VM in a data centre. */
  vmIn(dataCentre: string): RunningVm {
    const found = this.fleet.vms.find(vm => vm.dataCentre === dataCentre);
    if (!found) throw new Error(`no VM in data centre ${dataCentre}`);
    return found;
  }

  /** Connects a caller to the first VM in a data centre. */
  async connect(dataCentre: string, login: Login = {}): Promise<Connection> {
    const connection = await createConnection({
      host: '127.0.0.1',
      port: this.vmIn(dataCentre).clientPort,
      user: login.workspace ?? this.workspace.name,
      password: login.key ?? this.workspace.key,
      database: this.fleet.profile.service,
    });
    // A draining VM closes idle connections, which is not an error.
    connection.on('error', () => undefined);
    this.open.push(connection);
    return connection;
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.open) connection.destroy();
  }
}
