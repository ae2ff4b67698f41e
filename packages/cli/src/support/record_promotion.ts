import {randomUUID} from 'node:crypto';
import type {
  Environment,
  PromotionOutcome,
  VersionedRow,
} from '@pistachiorill/core';
import {formatChange} from '@pistachiorill/document';
import type {DocumentChange} from '@pistachiorill/document';
import {ask} from '@pistachiorill/tasks';
import {AuditTask} from '@pistachiorill/telemetry';
import type {AuditEntry} from '@pistachiorill/telemetry';
import type {Output} from './output.js';
import type {Platform} from './platform.js';

/** A promotion and its outcome, for the audit trail. */
export interface PromotionRecord {
  readonly environment: Environment;
  readonly actor: string;
  readonly operationId: string;
  /** The version row before the promotion; undefined if there was none. */
  readonly before: VersionedRow | undefined;
  /** The hash of the promoted document. */
  readonly hash: string;
  readonly changes: readonly DocumentChange[];
  readonly outcome: PromotionOutcome;
}

/**
 * Writes a promotion and its changes to the audit trail. Prints the entries
 * that could not be stored.
 */
export async function recordPromotion(
  record: PromotionRecord,
  platform: Platform,
  out: Output,
): Promise<void> {
  const entries = toAuditEntries(record);
  const audit = new AuditTask(platform.objects, {
    writer: `operator-${randomUUID()}`,
    wallClock: () => new Date(),
    sendDelayMs: () => 0,
    onFault: err => out.warn(`audit: ${String(err)}`),
  });
  for (const entry of entries) audit.tell({kind: 'record', entry});
  const left = await ask<number>(reply => audit.tell({kind: 'flush', reply}));
  await audit.stop();
  if (left > 0) {
    out.warn(`${left} audit entries could not be stored; they are:`);
    for (const entry of entries.slice(-left)) out.warn(JSON.stringify(entry));
  }
}

function toAuditEntries(
  record: PromotionRecord,
): Array<Omit<AuditEntry, 'time'>> {
  const {outcome, environment, actor, operationId} = record;
  const subject = `configuration/${environment}`;
  const before = `version ${record.before?.version ?? 0}`;
  switch (outcome.kind) {
    case 'promoted':
    case 'superseded':
      return [
        {
          actor,
          action: 'configuration-promoted',
          subject,
          before,
          after: `version ${'version' in outcome ? outcome.version : '(replaced since)'}, hash ${record.hash}`,
          operationId,
        },
        ...record.changes.map(change => ({
          actor,
          action: 'configuration-changed' as const,
          subject,
          before: change.kind === 'value-changed' ? change.before : '',
          after: formatChange(change),
          operationId,
        })),
      ];
    case 'outcome-unknown':
      return [
        {
          actor,
          action: 'configuration-promoted',
          subject,
          before,
          after: `outcome unknown, hash ${record.hash}`,
          operationId,
        },
      ];
    default:
      return [];
  }
}
