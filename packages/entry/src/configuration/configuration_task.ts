import {
  configurationKey,
  decodeConfigurationRow,
  documentName,
  documentHashOf,
  ledgerKey,
  nextConfiguration,
} from '@pistachiorill/core';
import type {
  ConfigurationVersion,
  Environment,
  VersionedConfiguration,
} from '@pistachiorill/core';
import {formatDocumentError, parseDocument} from '@pistachiorill/document';
import type {ObjectStore, TableService} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {ConfigurationPeers} from './configuration_peers.js';

const POLL_MS = 1_000;
/** Used while no configuration, or not the highest known one, is applied. */
const RETRY_MS = 200;

/** A version together with the body of its document. */
export interface AppliedDocument extends ConfigurationVersion {
  readonly body: string;
}

/**
 * The row versions that one poll has read from the store. They prove which
 * versions were current at `startedAt`.
 */
export interface VersionRead {
  /** The time at which the read started. */
  readonly startedAt: number;
  readonly configuration: number;
  readonly ledger: number;
}

/** Messages to the configuration task. */
export type ConfigurationMessage =
  | {readonly kind: 'poll'}
  /** Another VM has reported that this version exists. */
  | {readonly kind: 'version-reported'; readonly version: number}
  /** An operator's tool has announced a version that is in force. */
  | {readonly kind: 'announced'; readonly document: AppliedDocument};

/** The collaborators of the configuration task. */
export interface ConfigurationDependencies {
  readonly environment: Environment;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly peers: ConfigurationPeers;
  /** Called with each newly applied configuration and its document. */
  readonly onApplied: (current: VersionedConfiguration, body: string) => void;
  /** Called when the store, not a peer, has supplied both row versions. */
  readonly onRead: (read: VersionRead) => void;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Owns the applied configuration. Polls the version row in the store, falls
 * back to peers while the store is unavailable, and applies only higher
 * versions whose document has the expected hash and is valid for this VM.
 */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private applied: AppliedDocument | undefined;
  /** The highest known version that is not applied yet, with its hash. */
  private pending: ConfigurationVersion | undefined;
  /** The highest version that a VM has reported; its hash may be unknown. */
  private reportedVersion = 0;
  /** The version whose document was rejected, so that it is logged once. */
  private rejectedVersion = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: ConfigurationDependencies) {
    super();
  }

  protected override async handle(
    message: ConfigurationMessage,
  ): Promise<void> {
    switch (message.kind) {
      case 'poll':
        await this.poll();
        break;
      case 'version-reported':
        this.reportedVersion = Math.max(this.reportedVersion, message.version);
        if (this.state() === 'behind') await this.poll();
        break;
      case 'announced':
        this.announced(message.document);
        break;
    }
    this.schedule(this.state() === 'current' ? POLL_MS : RETRY_MS);
  }

  protected override onFailure(err: unknown): void {
    this.deps.log.error(
      {event: 'configuration.failed', err},
      'configuration task failed',
    );
    this.schedule(RETRY_MS);
  }

  override async stop(): Promise<void> {
    await super.stop();
    clearTimeout(this.timer);
  }

  /**
   * Returns `behind` if no version is applied, or if a version above both the
   * applied and the rejected one is known.
   */
  private state(): 'current' | 'behind' {
    if (!this.applied) return 'behind';
    const known = Math.max(this.pending?.version ?? 0, this.reportedVersion);
    return known > Math.max(this.applied.version, this.rejectedVersion)
      ? 'behind'
      : 'current';
  }

  private async poll(): Promise<void> {
    const {table, environment, peers, clock, onRead} = this.deps;
    const startedAt = clock();
    const [row, ledger] = await Promise.all([
      table.read(configurationKey(environment)),
      table.read(ledgerKey(environment)),
    ]);
    if (row.ok && ledger.ok) {
      onRead({
        startedAt,
        configuration: row.value?.version ?? 0,
        ledger: ledger.value?.version ?? 0,
      });
    }
    if (row.ok && row.value) {
      this.considerVersion(
        decodeConfigurationRow(row.value.value, row.value.version),
      );
    } else if (!row.ok && this.state() === 'behind') {
      // Without peers, a VM that starts during an outage could not serve.
      this.considerVersion(await peers.fetchLatestVersion());
    }
    await this.fetchPending();
  }

  private considerVersion(known: ConfigurationVersion | undefined): void {
    const version = this.applied?.version ?? 0;
    this.pending = nextConfiguration(version, [this.pending, known]);
  }

  private announced(document: AppliedDocument): void {
    this.considerVersion(document);
    const {pending} = this;
    if (pending?.hash !== document.hash) return;
    if (documentHashOf(document.body) === pending.hash) {
      this.apply(pending, document.body);
    }
  }

  private async fetchPending(): Promise<void> {
    const {pending} = this;
    if (!pending || pending.version === this.rejectedVersion) return;
    const body = await this.fetchBody(pending.hash);
    if (body !== undefined) this.apply(pending, body);
  }

  /** Reads a body from the store, or else from a peer, and checks its hash. */
  private async fetchBody(hash: string): Promise<string | undefined> {
    if (this.applied?.hash === hash) return this.applied.body;
    const {objects, peers, log} = this.deps;
    const stored = await objects.get(documentName(hash));
    if (stored.ok && stored.value !== undefined) {
      if (documentHashOf(stored.value) === hash) return stored.value;
      log.error(
        {event: 'configuration.corrupt', hash},
        'document in the store does not match its hash',
      );
    }
    const body = await peers.body(hash);
    if (body === undefined || documentHashOf(body) === hash) return body;
    log.error(
      {event: 'configuration.corrupt', hash},
      'document from a peer does not match its hash',
    );
    return undefined;
  }

  private apply({version, hash}: ConfigurationVersion, body: string): void {
    const {environment, log, onApplied} = this.deps;
    const parsed = parseDocument(body, environment);
    if (!parsed.ok) {
      this.rejectedVersion = version;
      log.error(
        {
          event: 'configuration.refused',
          version,
          hash,
          errors: parsed.err.map(formatDocumentError),
        },
        'document is not valid for this VM; the previous one stays in force',
      );
      return;
    }
    this.applied = {version, hash, body};
    this.pending = undefined;
    log.info(
      {event: 'configuration.applied', version, hash},
      'configuration applied',
    );
    onApplied({version, hash, configuration: parsed.value}, body);
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'poll'}), delayMs);
  }
}
