import {fail, ok} from '@pistachiorill/core';
import type {Result, UsageBounds} from '@pistachiorill/core';
import * as z from 'zod';

const ADDRESS = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'expected an address such as 10.0.0.1:7000');
const NAME = z.string().min(1, 'expected a name');

/** Node.js fires timers with a longer delay at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

const DEFAULT_GRACE_MS = 6_000;
const DEFAULT_APPLY_MS = 3_000;
/** The memory and descriptors of the smallest machine. */
const DEFAULT_MEMORY_MB = 250;
const DEFAULT_MAX_DESCRIPTORS = 4_200;
const DEFAULT_PIPELINED = 16;
/** One message of 1 MiB, counted twice while it is under way, must fit. */
const MIN_INBOUND_KB = 2_304;
const DEFAULT_INBOUND_KB = 3_072;
const DEFAULT_OUTBOUND_KB = 4_096;
/** A value or prepared statement of the largest size must fit. */
const MIN_STATE_KB = 1_025;
const DEFAULT_STATE_KB = 2_048;
const DEFAULT_LOGIN_S = 10;
/** A message of 1 MiB at 9 kB/s takes 120 s. */
const DEFAULT_MESSAGE_S = 120;
const DEFAULT_ANSWER_S = 120;
const DEFAULT_ANSWER_KB = 16_384;

/** A number that may be a fraction; an empty setting counts as left out. */
function optionalNumber(schema: z.ZodNumber) {
  return z.preprocess(
    value => (value === '' ? undefined : value),
    z.coerce.number().pipe(schema).optional(),
  );
}

/** A positive number with a default. */
function numberOr(fallback: number, min = 1) {
  return optionalNumber(z.number().min(min)).transform(
    value => value ?? fallback,
  );
}

/** A whole number with a default; a fraction is cut off. */
function countOr(fallback: number, min = 1) {
  return numberOr(fallback, min).transform(Math.floor);
}

/** Returns a time in whole milliseconds within the range of timers. */
function toTimerMs(ms: number): number {
  return Math.min(MAX_TIMER_MS, Math.max(1, Math.floor(ms)));
}

const LIMITS_SCHEMA = z
  .object({
    /** How long a graceful stop may take, in seconds. */
    grace_s: optionalNumber(z.number().min(0)),
    /** The same in milliseconds; used if `grace_s` is left out. */
    grace_ms: optionalNumber(z.number().min(0)),
    /** Within which time a change of the configuration must be in force. */
    configuration_apply_ms: optionalNumber(z.number().positive()),
    /** The memory of the machine, from which the process's budgets follow. */
    memory_mb: numberOr(DEFAULT_MEMORY_MB),
    /** The descriptors that the process may open. */
    max_descriptors: countOr(DEFAULT_MAX_DESCRIPTORS),
    /** Those that callers do not get; a third of them if left out. */
    descriptor_reserve: optionalNumber(z.number().min(0)),
    /** Callers' connections; 0 allows all descriptors but the reserve. */
    max_callers: countOr(0, 0),
    /** Callers' connections from one address; 0 sets no limit. */
    callers_per_address: countOr(0, 0),
    /** Messages of one caller that are decoded and not answered. */
    caller_pipelined: countOr(DEFAULT_PIPELINED),
    /** Received and unanswered data of one caller. */
    caller_inbound_kb: numberOr(DEFAULT_INBOUND_KB, MIN_INBOUND_KB),
    /** Earlier answers of one caller that may be unread at the next one. */
    caller_outbound_kb: numberOr(DEFAULT_OUTBOUND_KB),
    /** Values and prepared statements of one session. */
    caller_state_kb: numberOr(DEFAULT_STATE_KB, MIN_STATE_KB),
    /** Time limits for a login, a message and an answer that is not read. */
    caller_login_s: numberOr(DEFAULT_LOGIN_S),
    caller_message_s: numberOr(DEFAULT_MESSAGE_S),
    caller_answer_s: numberOr(DEFAULT_ANSWER_S),
    /** One answer of a member. */
    member_answer_kb: numberOr(DEFAULT_ANSWER_KB),
  })
  .prefault({})
  .refine(
    ({max_descriptors, descriptor_reserve}) =>
      (descriptor_reserve ?? 0) < max_descriptors,
    {
      path: ['descriptor_reserve'],
      message: 'expected less than max_descriptors',
    },
  )
  .transform(({grace_s, grace_ms, configuration_apply_ms, ...others}) => ({
    ...others,
    grace_ms: toTimerMs(
      grace_s === undefined ? (grace_ms ?? DEFAULT_GRACE_MS) : grace_s * 1_000,
    ),
    configuration_apply_ms: toTimerMs(
      configuration_apply_ms ?? DEFAULT_APPLY_MS,
    ),
  }));

const DEFAULT_LEASE_MS = 3_000;

/** Undefined if the deployment has no usage reports. */
const USAGE_SCHEMA = z
  .object({
    /** The duration of a window, in seconds. */
    window_s: optionalNumber(z.number().min(0)),
    /** How long after the end of its window a report is due, in seconds. */
    late_s: optionalNumber(z.number().min(0)),
    /** Two holders within this time may not send reports in turns. */
    lease_ms: optionalNumber(z.number().min(0)),
  })
  .prefault({})
  .transform(({window_s, late_s, lease_ms}): UsageBounds | undefined => {
    if (!window_s) return undefined;
    return {
      windowMs: window_s * 1_000,
      lateMs: (late_s ?? 2 * window_s) * 1_000,
      leaseMs: lease_ms ?? DEFAULT_LEASE_MS,
    };
  });

const SETTINGS_SCHEMA = z.object({
  vm: z.object({
    name: NAME,
    data_centre: NAME,
    region: z.string().default(''),
    /** The part of each processor that the VM may use; 0 if not known. */
    processor_share: optionalNumber(z.number().min(0)),
    /** The number of processors; 0 if not known. */
    processors: optionalNumber(z.number().min(0)),
  }),
  /** The region of each data centre, by the data centre's name. */
  regions: z.record(z.string(), z.string()).default({}),
  listen: z.object({
    callers: ADDRESS,
    readiness: ADDRESS,
    peers: ADDRESS,
    metrics: ADDRESS,
  }),
  store: z.object({address: ADDRESS}),
  orders: z.object({address: ADDRESS}).optional(),
  limits: LIMITS_SCHEMA,
  usage: USAGE_SCHEMA,
  log: z
    .object({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** The settings of one gateway process. */
export type GatewaySettings = z.infer<typeof SETTINGS_SCHEMA>;

/** Returns how many processors a VM may use, if its settings tell it. */
export function usableProcessors({
  processor_share: share,
  processors,
}: GatewaySettings['vm']): number | undefined {
  if (!share && !processors) return undefined;
  return (share || 1) * (processors || 1);
}

/** Validates the sections of a settings file; returns all errors at once. */
export function checkGatewaySettings(
  sections: unknown,
): Result<GatewaySettings, readonly string[]> {
  const parsed = SETTINGS_SCHEMA.safeParse(sections);
  if (parsed.success) return ok(parsed.data);
  return fail(
    parsed.error.issues.map(
      issue => `${issue.path.join('.')}: ${issue.message}`,
    ),
  );
}
