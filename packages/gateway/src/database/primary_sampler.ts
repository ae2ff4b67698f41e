import type {Clock} from '@pistachiorill/tasks';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberConnection} from './member_connection.js';

/** Sent to the primary in place of a workspace. */
const SAMPLER_WORKSPACE = '-';
/** The time limit of a request for the position. */
const SAMPLE_TIMEOUT_MS = 400;

/** Collaborators of the sampler. */
export interface PrimarySamplerDependencies {
  readonly open: (listed: ListedMember, workspace: string) => MemberConnection;
  readonly clock: Clock;
}

/**
 * Asks the primary of a group for the end of its log, over a connection of its
 * own. The request takes no slot of the primary. The answer reaches the group's
 * task like that of any other connection.
 */
export class PrimarySampler {
  private connection: MemberConnection | undefined;
  private state: 'idle' | 'asking' = 'idle';

  constructor(private readonly deps: PrimarySamplerDependencies) {}

  /** Sends a request unless the last one has no answer yet. */
  sample(primary: ListedMember): void {
    if (this.state === 'asking') return;
    const connection = this.connectionTo(primary);
    this.state = 'asking';
    connection.tell({
      kind: 'run',
      job: {
        values: new Map(),
        request: {command: {kind: 'reset'}},
        deadline: this.deps.clock() + SAMPLE_TIMEOUT_MS,
      },
      reply: {
        answer: () => {
          this.state = 'idle';
        },
      },
    });
  }

  /** Closes the connection. */
  close(): void {
    this.connection?.tell({kind: 'close'});
    this.connection = undefined;
  }

  private connectionTo(primary: ListedMember): MemberConnection {
    const {connection} = this;
    const isUsable =
      connection?.member === primary.member && connection.state === 'clean';
    if (isUsable) return connection;
    this.close();
    const opened = this.deps.open(primary, SAMPLER_WORKSPACE);
    this.connection = opened;
    return opened;
  }
}
