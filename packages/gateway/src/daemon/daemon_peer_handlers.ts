import type {LogPosition, PrimaryObservation} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {FleetTask} from '../fleet/fleet_task.js';
import type {PositionTask, RelayedPositions} from '../fleet/position_task.js';
import type {RelayRequest, RelayedRows} from '../fleet/relayed_rows.js';
import type {LeadershipTask} from '../leadership/leadership_task.js';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
} from '../owners/forward_schema.js';
import type {OwnerTask} from '../owners/owner_task.js';
import {GatewayHandlers} from '../peers/gateway_handlers.js';
import type {
  RelayedConfiguration,
  UsageAnswer,
} from '../peers/gateway_handlers.js';
import type {
  ConfigurationRequest,
  DirectoryRequest,
  KeptCounts,
  StopRequest,
} from '../peers/gateway_router.js';
import type {ConfigurationTask} from '../operators/configuration_task.js';
import type {
  DirectoryTask,
  RelayedMembers,
} from '../operators/directory_task.js';
import type {QuotaTask} from '../quota/quota_task.js';
import type {UsageTask} from '../usage/usage_task.js';
import type {DatabaseSet} from './database_set.js';

/** The tasks that answer peers' requests. */
export interface PeerHandlerDependencies {
  readonly databases: Pick<DatabaseSet, 'get' | 'keepAnnouncement'>;
  readonly fleet: FleetTask;
  readonly leadership: LeadershipTask;
  readonly quota: QuotaTask;
  readonly configuration: ConfigurationTask;
  readonly directory: DirectoryTask;
  readonly positions: PositionTask;
  /** Undefined if the deployment has no usage reports. */
  readonly usage: UsageTask | undefined;
  readonly owner: OwnerTask;
}

/** Forwards each peer request to the task that owns the state in question. */
export class DaemonPeerHandlers extends GatewayHandlers {
  constructor(private readonly deps: PeerHandlerDependencies) {
    super();
  }

  override async stopPrimary({
    group,
    version,
    from,
    reason,
  }: StopRequest): Promise<{readonly seen: LogPosition | null}> {
    const {databases} = this.deps;
    const leadership = {
      record: {phase: 'moving', from, reason},
      version,
    } as const;
    const database = databases.get(group);
    if (!database) {
      databases.keepAnnouncement(group, leadership);
      return {seen: null};
    }
    const seen = await ask<LogPosition | undefined>(reply =>
      database.tell({
        kind: 'stop-primary',
        leadership,
        mode: reason === 'leaving' ? 'finish' : 'abandon',
        reply,
      }),
    );
    return {seen: seen ?? null};
  }

  override async sight(group: string): Promise<PrimaryObservation> {
    const database = this.deps.databases.get(group);
    if (!database) return 'unknown';
    return ask(reply => database.tell({kind: 'sight', reply}));
  }

  override suspect(group: string): void {
    this.deps.leadership.tell({kind: 'asked', group});
  }

  override async relay(request: RelayRequest): Promise<RelayedRows | null> {
    const relayed = await ask<RelayedRows | undefined>(reply =>
      this.deps.fleet.tell({kind: 'relay', request, reply}),
    );
    return relayed ?? null;
  }

  override async configuration(
    request: ConfigurationRequest,
  ): Promise<RelayedConfiguration | null> {
    const relayed = await ask<RelayedConfiguration | undefined>(reply =>
      this.deps.configuration.tell({kind: 'relay', request, reply}),
    );
    return relayed ?? null;
  }

  override async directory(
    request: DirectoryRequest,
  ): Promise<RelayedMembers | null> {
    const relayed = await ask<RelayedMembers | undefined>(reply =>
      this.deps.directory.tell({kind: 'relay', request, reply}),
    );
    return relayed ?? null;
  }

  override positions(): Promise<RelayedPositions> {
    return ask(reply => this.deps.positions.tell({kind: 'relay', reply}));
  }

  override async usage(window: number): Promise<UsageAnswer | null> {
    const {usage} = this.deps;
    if (!usage) return null;
    return ask(reply => usage.tell({kind: 'counts', window, reply}));
  }

  override keepUsage(counts: KeptCounts): void {
    this.deps.usage?.tell({kind: 'keep', counts});
  }

  override tokens(workspace: string, asked: number): Promise<number> {
    return ask(reply =>
      this.deps.quota.tell({kind: 'give', workspace, asked, reply}),
    );
  }

  override execute(req: ExecuteRequest): Promise<ForwardAnswer> {
    return ask(reply => this.deps.owner.tell({kind: 'execute', req, reply}));
  }

  override executeIn(req: ExecuteInRequest): Promise<ForwardAnswer> {
    return ask(reply => this.deps.owner.tell({kind: 'execute-in', req, reply}));
  }

  override endTransaction(req: EndTransactionRequest): Promise<void> {
    return ask(reply =>
      this.deps.owner.tell({kind: 'end-transaction', req, reply}),
    );
  }
}
