import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {documentHashOf} from '@pistachiorill/core';
import type {
  Environment,
  PromotionOutcome,
  PromotionRequest,
} from '@pistachiorill/core';
import {compareDocuments, formatChange} from '@pistachiorill/document';
import type {DocumentChange} from '@pistachiorill/document';
import {HttpVmReports, promoteDocument} from '@pistachiorill/store';
import {AnnouncingVmReports} from '../support/announcing_vm_reports.js';
import {describeOutcome} from '../support/describe_outcome.js';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import {CachedVmList} from '../support/cached_vm_list.js';
import {loadDocument} from '../support/load_document.js';
import type {Output} from '../support/output.js';
import type {Platform} from '../support/platform.js';
import {readCurrentDocument} from '../support/read_current_document.js';
import {recordPromotion} from '../support/record_promotion.js';

const WRITE_TIMEOUT_MS = 10_000;

/** The options of `trial` and `promote`. */
export interface PromoteOptions {
  readonly environment: Environment;
  readonly path: string;
  readonly actor: string;
  /** The version that the document was edited from; by default the current. */
  readonly basedOn: number | undefined;
  readonly trialCheck: PromotionRequest['trialCheck'];
  /** `show-changes` prints the changes and does not promote. */
  readonly mode: 'promote' | 'show-changes';
  /** Time to wait for the VMs, after the time limit of the write. */
  readonly waitMs: number;
}

/** Prints the changes of a document, promotes it and waits for the VMs. */
export async function runPromote(
  options: PromoteOptions,
  platform: Platform,
  out: Output,
): Promise<ExitCode> {
  const document = loadDocument(options.path, out);
  if (!document) return EXIT_CODES.invalid;
  const current = await readCurrentDocument(options.environment, platform);
  if (!current.ok) {
    out.warn(`not promoted: ${current.err}; nothing was changed`);
    return EXIT_CODES.unavailable;
  }
  const {row} = current.value;
  const changes = compareDocuments(current.value.sections, document.sections);
  printChanges(changes, options, row?.version ?? 0, out);
  if (options.mode === 'show-changes') return EXIT_CODES.done;

  const operationId = randomUUID();
  const list = new CachedVmList(platform.vms);
  await list.read();
  const outcome = await promoteDocument(
    document.body,
    toRequest(options, document.body, operationId, row?.version ?? 0),
    {
      table: platform.table,
      objects: platform.objects,
      vms: new AnnouncingVmReports(
        new HttpVmReports(options.environment, list, platform.timeoutMs),
        list,
        {
          environment: options.environment,
          hash: documentHashOf(document.body),
          body: document.body,
        },
      ),
      clock: () => performance.now(),
      delay,
    },
  );
  await recordPromotion(
    {
      environment: options.environment,
      actor: options.actor,
      operationId,
      before: row,
      hash: documentHashOf(document.body),
      changes,
      outcome,
    },
    platform,
    out,
  );
  return printOutcome(outcome, out);
}

function printChanges(
  changes: readonly DocumentChange[],
  options: PromoteOptions,
  version: number,
  out: Output,
): void {
  out.print(`changes from ${options.environment} version ${version}:`);
  if (changes.length === 0) out.print('  none');
  for (const change of changes) out.print(`  ${formatChange(change)}`);
}

function toRequest(
  options: PromoteOptions,
  body: string,
  operationId: string,
  currentVersion: number,
): PromotionRequest {
  const now = performance.now();
  return {
    environment: options.environment,
    hash: documentHashOf(body),
    operationId,
    actor: options.actor,
    // Only the version that the printed changes refer to may be replaced.
    basedOn: options.basedOn ?? currentVersion,
    trialCheck: options.trialCheck,
    writeUntil: now + WRITE_TIMEOUT_MS,
    waitUntil: now + WRITE_TIMEOUT_MS + options.waitMs,
  };
}

function printOutcome(outcome: PromotionOutcome, out: Output): ExitCode {
  const description = describeOutcome(outcome);
  const print = description.exitCode === EXIT_CODES.done ? out.print : out.warn;
  for (const line of description.lines) print(line);
  return description.exitCode;
}
