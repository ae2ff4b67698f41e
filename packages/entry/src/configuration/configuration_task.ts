import {
  configurationKey,
  decodeConfigurationRow,
  documentName,
  hashOf,
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
const RETRY_MS = 200;

/** A version together with the body of its document. */
export interface AppliedDocument extends ConfigurationVersion {
  readonly body: string;
}

/** The versions that one poll found, which prove what is current. */
export interface VersionRead {
  readonly startedAt: number;
  readonly configuration: number;
  readonly ledger: number;
}

export type ConfigurationMessage =
  | {readonly kind: 'poll'}
  /** Some VM is known to know this version. */
  | {readonly kind: 'heard'; readonly version: number}
  /** An operator's program has sent a version that is in force. */
  | {readonly kind: 'announced'; readonly document: AppliedDocument};

/** What the task works with. */
export interface ConfigurationTools {
  readonly environment: Environment;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly peers: ConfigurationPeers;
  readonly onApplied: (current: VersionedConfiguration, body: string) => void;
  /** Called after both rows were read from the store itself. */
  readonly onRead: (read: VersionRead) => void;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Owns the applied configuration and follows the version row and the peers. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private applied: AppliedDocument | undefined;
  /** The highest version heard of that is not applied yet. */
  private wanted: ConfigurationVersion | undefined;
  private heardVersion = 0;
  /** The version whose document was refused, so that it is logged once. */
  private refusedVersion = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly tools: ConfigurationTools) {
    super();
  }

  protected override async handle(
    message: ConfigurationMessage,
  ): Promise<void> {
    switch (message.kind) {
      case 'poll':
        await this.poll();
        break;
      case 'heard':
        this.heardVersion = Math.max(this.heardVersion, message.version);
        if (this.state() === 'behind') await this.poll();
        break;
      case 'announced':
        this.announced(message.document);
        break;
    }
    this.schedule(this.state() === 'current' ? POLL_MS : RETRY_MS);
  }

  protected override onFailure(err: unknown): void {
    this.tools.log.error({event: 'configuration.failed', err}, 'poll failed');
    this.schedule(RETRY_MS);
  }

  override async stop(): Promise<void> {
    await super.stop();
    clearTimeout(this.timer);
  }

  /** Whether a version above the applied one is known and can be tried. */
  private state(): 'current' | 'behind' {
    if (!this.applied) return 'behind';
    const known = Math.max(this.wanted?.version ?? 0, this.heardVersion);
    return known > Math.max(this.applied.version, this.refusedVersion)
      ? 'behind'
      : 'current';
  }

  private async poll(): Promise<void> {
    const {table, environment, peers, clock, onRead} = this.tools;
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
      this.hear(decodeConfigurationRow(row.value.value, row.value.version));
    } else if (!row.ok && this.state() === 'behind') {
      // A VM that starts during an outage would otherwise serve nobody.
      this.hear(await peers.current());
    }
    await this.fetchWanted();
  }

  private hear(known: ConfigurationVersion | undefined): void {
    const version = this.applied?.version ?? 0;
    this.wanted = nextConfiguration(version, [this.wanted, known]);
  }

  private announced(document: AppliedDocument): void {
    this.hear(document);
    const {wanted} = this;
    if (wanted?.hash !== document.hash) return;
    if (hashOf(document.body) === wanted.hash) {
      this.apply(wanted, document.body);
    }
  }

  private async fetchWanted(): Promise<void> {
    const {wanted} = this;
    if (!wanted || wanted.version === this.refusedVersion) return;
    const body = await this.fetchBody(wanted.hash);
    if (body !== undefined) this.apply(wanted, body);
  }

  /** Reads a body from the store or else from a peer, and checks its hash. */
  private async fetchBody(hash: string): Promise<string | undefined> {
    if (this.applied?.hash === hash) return this.applied.body;
    const {objects, peers, log} = this.tools;
    const stored = await objects.get(documentName(hash));
    if (stored.ok && stored.value !== undefined) {
      if (hashOf(stored.value) === hash) return stored.value;
      log.error({event: 'configuration.corrupt', hash}, 'wrong hash in store');
    }
    const body = await peers.body(hash);
    if (body === undefined || hashOf(body) === hash) return body;
    log.error({event: 'configuration.corrupt', hash}, 'wrong hash from a peer');
    return undefined;
  }

  private apply({version, hash}: ConfigurationVersion, body: string): void {
    const {environment, log, onApplied} = this.tools;
    const parsed = parseDocument(body, environment);
    if (!parsed.ok) {
      this.refusedVersion = version;
      log.error(
        {
          event: 'configuration.refused',
          version,
          hash,
          errors: parsed.err.map(formatDocumentError),
        },
        'the document is not valid for this VM; the earlier one stays in force',
      );
      return;
    }
    this.applied = {version, hash, body};
    this.wanted = undefined;
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
