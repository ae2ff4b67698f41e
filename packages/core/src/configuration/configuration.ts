import type {Route} from '../routing/route.js';

/** Whether a data centre is in service. */
export type ServiceState = 'in-service' | 'out';
/** Whether a backend server accepts new statements or is being removed. */
export type BackendServerState = 'in-service' | 'leaving';
/**
 * How a VM handles statements with a key while it cannot confirm that its view
 * of the configuration and the quota shares is current.
 */
export type UnconfirmedPolicy = 'refuse' | 'serve';

/** A data centre and its region. */
export interface DataCentre {
  readonly name: string;
  readonly region: string;
  readonly state: ServiceState;
}

/** A database server, which is a member of at most one group. */
export interface BackendServer {
  readonly name: string;
  readonly dataCentre: string;
  /** The `host:port` of the server in the environment of this process. */
  readonly address: string;
  readonly state: BackendServerState;
  /** The number of connections that the backend server accepts. */
  readonly connectionLimit: number;
  /** The number of statements that it executes at a time. */
  readonly slots: number;
}

/** A replicated database. */
export interface Database {
  readonly name: string;
  /** The service that the database is a shard of. */
  readonly service: string;
  /** Names of the backend servers that form the replication group. */
  readonly members: readonly string[];
}

/** A key that is granted to a workspace. */
export interface KeyGrant {
  readonly id: string;
  /** SHA1(SHA1(key)) in hexadecimal; the key itself is not stored anywhere. */
  readonly verifier: string;
}

/** The quota and the access rights of one workspace. */
export interface Workspace {
  readonly name: string;
  /** Admitted statements per second, over all VMs. */
  readonly rate: number;
  /** Statements that may be admitted at once after an idle period. */
  readonly burst: number;
  readonly keys: readonly KeyGrant[];
  /** The services that the workspace may use. */
  readonly services: readonly string[];
}

/** The validated content of a configuration document. */
export interface Configuration {
  readonly whenUnconfirmed: UnconfirmedPolicy;
  readonly dataCentres: readonly DataCentre[];
  readonly backendServers: readonly BackendServer[];
  readonly databases: readonly Database[];
  readonly workspaces: readonly Workspace[];
  readonly routes: readonly Route[];
}

/** A configuration and the version that it has in its environment. */
export interface VersionedConfiguration {
  readonly version: number;
  /** The SHA-256 hash of the document, in hexadecimal. */
  readonly hash: string;
  readonly configuration: Configuration;
}
