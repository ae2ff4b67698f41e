import {FULL_SHARE_PPM, leadershipOfRow} from '@pistachiorill/core';
import type {
  CoordinatorLease,
  LeadershipRecord,
  LeadershipStamp,
  ShareTable,
  UsageRecord,
  UsageRecords,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {TableRow} from '@pistachiorill/store';
import * as z from 'zod';

/** Key of the row that holds the coordinator lease. */
export const COORDINATOR_LEASE_KEY = 'duty';
/** Key of the row that holds the usage lease. */
export const USAGE_LEASE_KEY = 'usage-lease';
/** Key of the row that divides the rates among the VMs. */
export const SHARES_KEY = 'shares';
const LEADERSHIP_PREFIX = 'leadership/';
const VM_PREFIX = 'vm/';
const USAGE_PREFIX = 'usage/';

/** Key of the row that records a group's primary. */
export function leadershipKey(group: string): string {
  return LEADERSHIP_PREFIX + group;
}

/** Key of the row that registers a VM. */
export function vmKey(vm: string): string {
  return VM_PREFIX + vm;
}

/** Key of the row that records the counts of a window. */
export function usageKey(window: number): string {
  return USAGE_PREFIX + window;
}

/** Whether a row registers a VM. */
export function isVmRow({key}: TableRow): boolean {
  return key.startsWith(VM_PREFIX);
}

const MAX_PORT = 65_535;

/** `host:port`, with a port that can be connected to. */
const ADDRESS_SCHEMA = z.string().refine(address => {
  const [, port] = /^[^\s:]+:(\d{1,5})$/.exec(address) ?? [];
  return Number(port) >= 1 && Number(port) <= MAX_PORT;
});

const VM_SCHEMA = z.object({
  peers: ADDRESS_SCHEMA,
  dataCentre: z.string(),
  incarnation: z.string(),
  processors: z.number().positive().optional(),
});

/**
 * A VM's registration: the address where it listens for its peers, its data
 * centre, an identifier of its current process (`incarnation`), and the number
 * of processors that it may use, if its settings tell it.
 */
export type VmRegistration = z.infer<typeof VM_SCHEMA>;

const VERSION = z.number().int().min(0);
/** When a leadership record was written; left out in era 0. */
const STAMP = {era: VERSION.optional(), origin: VERSION.optional()};

const TERM = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const LEADERSHIP_SCHEMA = z.discriminatedUnion('phase', [
  z.object({
    phase: z.literal('settled'),
    primary: z.string(),
    term: TERM.optional(),
    ...STAMP,
  }),
  z.object({
    phase: z.literal('moving'),
    from: z.string(),
    fromTerm: TERM.optional(),
    reason: z.enum(['unreachable', 'leaving', 'gone']),
    ...STAMP,
  }),
]);

/**
 * Encodes a record that is written in an era. `origin` is the version of a record
 * that is only written again.
 */
export function encodeLeadership(
  record: LeadershipRecord,
  era: number,
  origin?: number,
): string {
  return JSON.stringify({...record, era: era || undefined, origin});
}

const DUTY_SCHEMA = z.object({
  holder: z.string(),
  fence: z.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  takenAt: z.number(),
  era: z.number().int().min(0).optional(),
});

const SHARES_SCHEMA = z.record(
  z.string(),
  z.object({
    ppm: z.number().min(0).max(FULL_SHARE_PPM),
    revokedAt: z.number().optional(),
    lostBy: z.number().optional(),
  }),
);

const USAGE_SCHEMA = z.object({
  counts: z.record(z.string(), z.number().int().min(0)),
  era: z.number().int().min(0),
  wallOffset: z.number().optional(),
});

/** A row's decoded content with the version of the row. */
export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}

/** The decoded rows that all VMs share. */
export interface FleetRows {
  readonly vms: ReadonlyMap<string, Versioned<VmRegistration>>;
  /** The records of the primaries, by group. */
  readonly leadership: ReadonlyMap<string, VersionedLeadership>;
  /** The coordinator lease. */
  readonly duty: Versioned<CoordinatorLease> | undefined;
  /** Each VM's share of the rates. */
  readonly shares: Versioned<ShareTable> | undefined;
  /** The lease of the VM that sends the usage reports. */
  readonly usageLease: Versioned<CoordinatorLease> | undefined;
  /** The recorded counts of the usage reports, by window. */
  readonly usage: UsageRecords;
}

/** Returns the data centre of each registered VM. */
export function dataCentresOf({vms}: FleetRows): ReadonlyMap<string, string> {
  return new Map([...vms].map(([vm, {value}]) => [vm, value.dataCentre]));
}

/** The content of one row, by what its key says that it holds. */
type DecodedRow =
  | {readonly kind: 'vm'; readonly vm: string; readonly value: VmRegistration}
  | {
      readonly kind: 'leadership';
      readonly group: string;
      readonly record: LeadershipRecord;
      readonly stamp: LeadershipStamp;
    }
  | {readonly kind: 'duty'; readonly value: CoordinatorLease}
  | {readonly kind: 'usage-lease'; readonly value: CoordinatorLease}
  | {
      readonly kind: 'usage';
      readonly window: number;
      readonly value: UsageRecord;
    }
  | {readonly kind: 'shares'; readonly value: ShareTable}
  | {readonly kind: 'unreadable'}
  /** A row of another version of the program. */
  | {readonly kind: 'unknown'};

/**
 * Decodes the rows; reports unreadable ones and leaves them out. A row that was
 * decoded before is not decoded again, as one registration of a large fleet would
 * otherwise cost as much as all of them.
 */
export class RowDecoder {
  private readonly decoded = new WeakMap<TableRow, DecodedRow>();

  constructor(private readonly onUnreadable: (key: string) => void) {}

  decode(rows: Iterable<TableRow>): FleetRows {
    const vms = new Map<string, Versioned<VmRegistration>>();
    const leadership = new Map<string, VersionedLeadership>();
    let duty: Versioned<CoordinatorLease> | undefined;
    let shares: Versioned<ShareTable> | undefined;
    let usageLease: Versioned<CoordinatorLease> | undefined;
    const usage = new Map<number, UsageRecord>();
    for (const row of rows) {
      const {version} = row;
      const content = this.decodeOnce(row);
      switch (content.kind) {
        case 'vm':
          vms.set(content.vm, {value: content.value, version});
          break;
        case 'leadership':
          leadership.set(
            content.group,
            leadershipOfRow(content.record, content.stamp, version),
          );
          break;
        case 'duty':
          duty = {value: content.value, version};
          break;
        case 'shares':
          shares = {value: content.value, version};
          break;
        case 'usage-lease':
          usageLease = {value: content.value, version};
          break;
        case 'usage':
          usage.set(content.window, content.value);
          break;
        case 'unreadable':
        case 'unknown':
          break;
      }
    }
    return {vms, leadership, duty, shares, usageLease, usage};
  }

  private decodeOnce(row: TableRow): DecodedRow {
    const known = this.decoded.get(row);
    if (known) return known;
    const content = decodeRow(row);
    if (content.kind === 'unreadable') this.onUnreadable(row.key);
    this.decoded.set(row, content);
    return content;
  }
}

function decodeRow({key, value: text}: TableRow): DecodedRow {
  if (key.startsWith(VM_PREFIX)) {
    const value = read(VM_SCHEMA, text);
    if (!value) return UNREADABLE;
    return {kind: 'vm', vm: key.slice(VM_PREFIX.length), value};
  }
  if (key.startsWith(LEADERSHIP_PREFIX)) {
    const value = read(LEADERSHIP_SCHEMA, text);
    if (!value) return UNREADABLE;
    const {era, origin, ...record} = value;
    const group = key.slice(LEADERSHIP_PREFIX.length);
    return {kind: 'leadership', group, record, stamp: {era, origin}};
  }
  if (key === COORDINATOR_LEASE_KEY) {
    const value = read(DUTY_SCHEMA, text);
    return value ? {kind: 'duty', value} : UNREADABLE;
  }
  if (key === USAGE_LEASE_KEY) {
    const value = read(DUTY_SCHEMA, text);
    return value ? {kind: 'usage-lease', value} : UNREADABLE;
  }
  if (key.startsWith(USAGE_PREFIX)) {
    const window = Number(key.slice(USAGE_PREFIX.length));
    const value = read(USAGE_SCHEMA, text);
    const isReadable = value && Number.isSafeInteger(window);
    return isReadable ? {kind: 'usage', window, value} : UNREADABLE;
  }
  if (key === SHARES_KEY) {
    const value = read(SHARES_SCHEMA, text);
    return value ? {kind: 'shares', value: value as ShareTable} : UNREADABLE;
  }
  return {kind: 'unknown'};
}

const UNREADABLE: DecodedRow = {kind: 'unreadable'};

function read<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The text is not JSON; the caller reports the row's key.
    return undefined;
  }
}
