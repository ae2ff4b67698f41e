import type {
  CoordinatorLease,
  LeadershipRecord,
  ShareTable,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {TableRow} from '@pistachiorill/store';
import {z} from 'zod';

/** Key of the row that holds the coordinator lease. */
export const COORDINATOR_LEASE_KEY = 'duty';
/** Key of the row that divides the rates among the VMs. */
export const SHARES_KEY = 'shares';
const LEADERSHIP_PREFIX = 'leadership/';
const VM_PREFIX = 'vm/';

/** Key of the row that records a group's primary. */
export function leadershipKey(group: string): string {
  return LEADERSHIP_PREFIX + group;
}

/** Key of the row that registers a VM. */
export function vmKey(vm: string): string {
  return VM_PREFIX + vm;
}

/** Whether a row registers a VM. */
export function isVmRow({key}: TableRow): boolean {
  return key.startsWith(VM_PREFIX);
}

const VM_SCHEMA = z.object({
  peers: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
});

/**
 * A VM's registration: the address where it listens for its peers, its data
 * centre, and an identifier of its current process (`incarnation`).
 */
export type VmRegistration = z.infer<typeof VM_SCHEMA>;

const LEADERSHIP_SCHEMA = z.discriminatedUnion('phase', [
  z.object({phase: z.literal('settled'), primary: z.string()}),
  z.object({
    phase: z.literal('moving'),
    from: z.string(),
    reason: z.enum(['unreachable', 'leaving', 'gone']),
  }),
]);

const DUTY_SCHEMA = z.object({
  holder: z.string(),
  fence: z.number(),
  takenAt: z.number(),
});

const SHARES_SCHEMA = z.record(
  z.string(),
  z.object({
    ppm: z.number(),
    revokedAt: z.number().optional(),
    lostBy: z.number().optional(),
  }),
);

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
}

/** Returns the data centre of each registered VM. */
export function dataCentresOf({vms}: FleetRows): ReadonlyMap<string, string> {
  return new Map([...vms].map(([vm, {value}]) => [vm, value.dataCentre]));
}

/** Decodes the rows; reports unreadable ones and leaves them out. */
export function decodeRows(
  rows: Iterable<TableRow>,
  onUnreadable: (key: string) => void,
): FleetRows {
  const vms = new Map<string, Versioned<VmRegistration>>();
  const leadership = new Map<string, VersionedLeadership>();
  let duty: Versioned<CoordinatorLease> | undefined;
  let shares: Versioned<ShareTable> | undefined;
  for (const {key, value, version} of rows) {
    if (key.startsWith(VM_PREFIX)) {
      const entry = read(VM_SCHEMA, value);
      if (entry) vms.set(key.slice(VM_PREFIX.length), {value: entry, version});
      else onUnreadable(key);
    } else if (key.startsWith(LEADERSHIP_PREFIX)) {
      const record: LeadershipRecord | undefined = read(
        LEADERSHIP_SCHEMA,
        value,
      );
      const group = key.slice(LEADERSHIP_PREFIX.length);
      if (record) leadership.set(group, {record, version});
      else onUnreadable(key);
    } else if (key === COORDINATOR_LEASE_KEY) {
      const record = read(DUTY_SCHEMA, value);
      if (record) duty = {value: record, version};
      else onUnreadable(key);
    } else if (key === SHARES_KEY) {
      const table = read(SHARES_SCHEMA, value);
      if (table) shares = {value: table as ShareTable, version};
      else onUnreadable(key);
    }
  }
  return {vms, leadership, duty, shares};
}

function read<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The text is not JSON; the caller reports the row's key.
    return undefined;
  }
}
