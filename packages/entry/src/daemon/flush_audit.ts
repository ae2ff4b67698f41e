import {ask} from '@pistachiorill/tasks';
import type {AuditTask} from '@pistachiorill/telemetry';

/** Limits the wait for an unavailable store when the VM stops. */
const FINAL_FLUSH_TIMEOUT_MS = 1_000;

/** Waits until the audit trail is stored, or for a limited time. */
export async function flushAudit(audit: AuditTask): Promise<void> {
  const flushed = ask<number>(reply => audit.tell({kind: 'flush', reply}));
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>(resolve => {
    timer = setTimeout(resolve, FINAL_FLUSH_TIMEOUT_MS);
  });
  await Promise.race([flushed, limit]);
  clearTimeout(timer);
}
