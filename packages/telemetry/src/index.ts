/** Logging, metrics and the audit trail. */
export {AUDIT_PREFIX} from './audit/audit_entry.js';
export type {AuditAction, AuditEntry} from './audit/audit_entry.js';
export {AuditTask} from './audit/audit_task.js';
export type {AuditMessage, AuditSink} from './audit/audit_task.js';
export {BoundedLogStream} from './bounded_log_stream.js';
export {BUILD_ID} from './build_id.js';
export {createBoundedLogger, createLogger} from './logger.js';
export type {LogLevel, Logger} from './logger.js';
export {Metrics} from './metrics.js';
