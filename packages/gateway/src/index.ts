/** The gateway daemon, for platforms on which each session is a connection. */
export {GatewayDaemon} from './daemon/gateway_daemon.js';
export {logUnhandledErrors} from './daemon/unhandled_errors.js';
export type {GatewayPorts, OpenPorts} from './daemon/gateway_ports.js';
export {checkGatewaySettings} from './daemon/gateway_settings.js';
export type {GatewaySettings} from './daemon/gateway_settings.js';
export {listenOn} from './daemon/http_endpoints.js';
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
