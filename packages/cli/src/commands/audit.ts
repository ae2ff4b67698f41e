import {AUDIT_PREFIX} from '@pistachiorill/telemetry';
import type {AuditEntry} from '@pistachiorill/telemetry';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import type {Output} from '../support/output.js';
import type {Platform} from '../support/platform.js';

/** The options of `audit`. */
export interface AuditOptions {
  /** Date or time of the first entry to print, such as `2026-01-31`. */
  readonly since: string;
  /** The maximum number of entries; the latest ones are printed. */
  readonly limit: number;
  readonly format: 'text' | 'json';
}

/** Prints the entries of the audit trail in chronological order. */
export async function runAudit(
  options: AuditOptions,
  platform: Platform,
  out: Output,
): Promise<ExitCode> {
  const names = await platform.objects.list(AUDIT_PREFIX);
  if (!names.ok) {
    out.warn(`the audit trail could not be read: ${names.err.kind}`);
    return EXIT_CODES.unavailable;
  }
  const selected = names.value
    .filter(name => name >= `${AUDIT_PREFIX}${options.since}`)
    .slice(-options.limit);
  let code: ExitCode = EXIT_CODES.done;
  for (const name of selected) {
    const body = await platform.objects.get(name);
    if (body.ok && body.value !== undefined) {
      out.print(options.format === 'json' ? body.value : format(body.value));
    } else {
      out.warn(`${name}: not readable`);
      code = EXIT_CODES.unavailable;
    }
  }
  return code;
}

function format(body: string): string {
  const entry = JSON.parse(body) as AuditEntry;
  const {time, actor, action, subject, before, after, operationId} = entry;
  const change = before === '' ? after : `${before} -> ${after}`;
  return `${time}  ${actor}  ${action}  ${subject}: ${change}  [${operationId}]`;
}
