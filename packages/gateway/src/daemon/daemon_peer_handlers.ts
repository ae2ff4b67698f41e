import type {LogPosition, PrimarySighting} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import type {FleetTask, RelayedRows} from '../fleet/fleet_task.js';
import type {LeadershipTask} from '../leadership/leadership_task.js';
import {GatewayHandlers} from '../peers/gateway_handlers.js';
import type {RelayedConfiguration} from '../peers/gateway_handlers.js';
import type {StopRequest} from '../peers/gateway_router.js';
import type {OperatorState} from '../ports/configuration_source.js';
import type {
  DirectoryTask,
  RelayedMembers,
} from '../operators/directory_task.js';
import type {QuotaTask} from '../quota/quota_task.js';

export interface PeerHandlerTools {
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly fleet: FleetTask;
  readonly leadership: LeadershipTask;
  readonly quota: QuotaTask;
  readonly operators: () => OperatorState | undefined;
  readonly directory: DirectoryTask;
}

/** Passes peers' requests to the tasks that own what they ask for. */
export class DaemonPeerHandlers extends GatewayHandlers {
  constructor(private readonly tools: PeerHandlerTools) {
    super();
  }

  override async stopPrimary({
    group,
    version,
    from,
    reason,
  }: StopRequest): Promise<{readonly seen: LogPosition | null}> {
    const database = this.tools.database(group);
    // A VM that does not know the group cannot use its primary. It reads the
    // record before it does.
    if (!database) return {seen: null};
    const seen = await ask<LogPosition | undefined>(reply =>
      database.tell({
        kind: 'stop-primary',
        leadership: {record: {phase: 'moving', from, reason}, version},
        mode: reason === 'leaving' ? 'finish' : 'abandon',
        reply,
      }),
    );
    return {seen: seen ?? null};
  }

  override async sight(group: string): Promise<PrimarySighting> {
    const database = this.tools.database(group);
    if (!database) return 'unknown';
    return ask(reply => database.tell({kind: 'sight', reply}));
  }

  override suspect(group: string): void {
    this.tools.leadership.tell({kind: 'asked', group});
  }

  override async relay(): Promise<RelayedRows | null> {
    const relayed = await ask<RelayedRows | undefined>(reply =>
      this.tools.fleet.tell({kind: 'relay', reply}),
    );
    return relayed ?? null;
  }

  override configuration(newerThan: number): RelayedConfiguration | null {
    const operators = this.tools.operators();
    if (!operators || operators.revision <= newerThan) return null;
    return {encoded: operators.encoded};
  }

  override async directory(): Promise<RelayedMembers | null> {
    const relayed = await ask<RelayedMembers | undefined>(reply =>
      this.tools.directory.tell({kind: 'relay', reply}),
    );
    return relayed ?? null;
  }

  override tokens(workspace: string, asked: number): Promise<number> {
    return ask(reply =>
      this.tools.quota.tell({kind: 'give', workspace, asked, reply}),
    );
  }
}
