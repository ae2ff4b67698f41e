/** The gateway daemon, for platforms on which each session is a connection. */
export {AnswerBudget} from './callers/answer_budget.js';
export {callerLimitsOf} from './callers/caller_limits.js';
export type {CallerLimits} from './callers/caller_limits.js';
export {
  ConnectionLimiter,
  SWEEP_INTERVAL_MS,
} from './callers/connection_limiter.js';
export type {
  ConnectionUse,
  LimitedConnection,
} from './callers/connection_limiter.js';
export {limitRefusal} from './callers/limit_refusals.js';
export type {EntryPoint} from './callers/limit_log.js';
export {LimitReporter} from './callers/limit_reporter.js';
export {GatewayDaemon} from './daemon/gateway_daemon.js';
export {logUnhandledErrors} from './daemon/unhandled_errors.js';
export type {GatewayPorts, OpenPorts} from './daemon/gateway_ports.js';
export {checkGatewaySettings} from './daemon/gateway_settings.js';
export type {GatewaySettings} from './daemon/gateway_settings.js';
export {ProbeServer} from './daemon/probe_server.js';
export {CallerLink, CallerServer} from './ports/caller_link.js';
export type * from './ports/caller_link.js';
export {ConfigurationSource} from './ports/configuration_source.js';
export type {OperatorState} from './ports/configuration_source.js';
export {MemberDirectory} from './ports/member_directory.js';
export type {ListedMember} from './ports/member_directory.js';
export {MemberLink, MemberLinkFactory} from './ports/member_link.js';
export type * from './ports/member_link.js';
export {PrimaryPromoter} from './ports/primary_promoter.js';
export type {
  PromotionError,
  PromotionRequest,
} from './ports/primary_promoter.js';
export {ReadinessEndpoint} from './ports/readiness_endpoint.js';
export type {Readiness} from './ports/readiness_endpoint.js';
export {UsageReporter} from './ports/usage_reporter.js';
export type {UsageReport, UsageReportError} from './ports/usage_reporter.js';
