import type {TransactionalStore} from '@pistachiorill/store';
import type {Logger} from '@pistachiorill/telemetry';
import type {LimitReporter} from '../callers/limit_reporter.js';
import type {CallerServer} from '../ports/caller_link.js';
import type {ConfigurationSource} from '../ports/configuration_source.js';
import type {MemberDirectory} from '../ports/member_directory.js';
import type {MemberLinkFactory} from '../ports/member_link.js';
import type {PrimaryPromoter} from '../ports/primary_promoter.js';
import type {ReadinessEndpoint} from '../ports/readiness_endpoint.js';
import type {UsageReporter} from '../ports/usage_reporter.js';

/** The adapters through which the gateway uses its platform. */
export interface GatewayPorts {
  readonly callers: CallerServer;
  readonly links: MemberLinkFactory;
  readonly source: ConfigurationSource;
  readonly directory: MemberDirectory;
  readonly orders: PrimaryPromoter;
  readonly store: TransactionalStore;
  readonly usageReporter: UsageReporter;
  readonly readiness: ReadinessEndpoint;
}

/** Creates the ports with the daemon's clock and its record of limits. */
export type OpenPorts = (deps: {
  readonly clock: () => number;
  readonly log: Logger;
  readonly limits: LimitReporter;
}) => GatewayPorts;
