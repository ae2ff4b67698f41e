import {
  acceptanceName,
  advancePromotion,
  configurationKey,
  decodeConfigurationRow,
  documentName,
  startPromotion,
} from '@pistachiorill/core';
import type {
  PromotionEvent,
  PromotionOutcome,
  PromotionRequest,
  PromotionStep,
  Result,
  VersionedRow,
} from '@pistachiorill/core';
import type {ObjectStore} from '../object_store.js';
import type {PlatformError} from '../platform_error.js';
import type {Row, TableService} from '../table_service.js';
import type {VmReports} from './vm_reports.js';

/** The collaborators of a promotion. */
export interface PromotionDependencies {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmReports;
  readonly clock: () => number;
  readonly delay: (ms: number) => Promise<unknown>;
}

/** Executes the steps of a promotion until it finishes, with its outcome. */
export async function promoteDocument(
  body: string,
  req: PromotionRequest,
  deps: PromotionDependencies,
): Promise<PromotionOutcome> {
  let progress = startPromotion(req);
  for (;;) {
    const {state, step} = progress;
    if (step.kind === 'finish') return step.outcome;
    if (step.delayMs > 0) await deps.delay(step.delayMs);
    const event = await execute(step, state.version, body, req, deps);
    progress = advancePromotion(state, event, deps.clock());
  }
}

async function execute(
  step: Exclude<PromotionStep, {kind: 'finish'}>,
  version: number,
  body: string,
  req: PromotionRequest,
  {table, objects, vms}: PromotionDependencies,
): Promise<PromotionEvent> {
  const key = configurationKey(req.environment);
  switch (step.kind) {
    case 'check-trial':
      return checkTrial(req.hash, table, objects);
    case 'put-body':
      return toPutEvent(await objects.put(documentName(req.hash), body));
    case 'record-acceptance':
      return toPutEvent(
        await objects.put(
          acceptanceName(req.environment, req.hash),
          req.operationId,
        ),
      );
    case 'read-row':
    case 'read-back': {
      const row = await table.read(key);
      return row.ok
        ? {kind: 'row', current: decodeRow(row.value)}
        : toFailureEvent(row.err);
    }
    case 'write-row': {
      const row = await table.write(
        key,
        JSON.stringify(step.row),
        step.expected,
      );
      if (row.ok) return {kind: 'written', version: row.value.version};
      return row.err.kind === 'conflict'
        ? {kind: 'conflict', current: decodeRow(row.err.current)}
        : toFailureEvent(row.err);
    }
    case 'read-vms': {
      const reports = await vms.read(version);
      return reports
        ? {kind: 'vms', reports}
        : {kind: 'failed', effect: 'none', detail: 'no list of VMs'};
    }
  }
}

/**
 * Checks whether the document is or was in force in trial. The acceptance
 * record of an earlier trial remains after the document is replaced there.
 */
async function checkTrial(
  hash: string,
  table: TableService,
  objects: ObjectStore,
): Promise<PromotionEvent> {
  const row = await table.read(configurationKey('trial'));
  if (!row.ok) return toFailureEvent(row.err);
  if (decodeRow(row.value)?.hash === hash) {
    return {kind: 'acceptance', accepted: 'yes'};
  }
  const record = await objects.get(acceptanceName('trial', hash));
  if (!record.ok) return toFailureEvent(record.err);
  return {
    kind: 'acceptance',
    accepted: record.value === undefined ? 'no' : 'yes',
  };
}

function toPutEvent(result: Result<void, PlatformError>): PromotionEvent {
  return result.ok ? {kind: 'stored'} : toFailureEvent(result.err);
}

function toFailureEvent(err: PlatformError): PromotionEvent {
  const detail = err.kind === 'conflict' ? 'conflict' : err.detail;
  const effect = err.kind === 'unknown-outcome' ? 'unknown' : 'none';
  return {kind: 'failed', effect, detail};
}

/**
 * Decodes the row. A malformed row is represented by an empty one with the
 * same version, so that a conditional write can replace it.
 */
function decodeRow(row: Row | undefined): VersionedRow | undefined {
  if (!row) return undefined;
  return (
    decodeConfigurationRow(row.value, row.version) ?? {
      version: row.version,
      hash: '',
      basedOn: 0,
      operationId: '',
      actor: 'unknown',
      recent: [],
    }
  );
}
