import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import * as z from 'zod';

const ADDRESS = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'expected an address such as 10.0.0.1:7000');
const NAME = z.string().min(1, 'expected a name');

const SETTINGS_SCHEMA = z.object({
  vm: z.object({
    name: NAME,
    data_centre: NAME,
    region: z.string().default(''),
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
  limits: z
    .object({
      /** How long a graceful stop may take. */
      grace_ms: z.coerce.number().int().positive().default(6_000),
      /** Within which time a change of the configuration must be in force. */
      configuration_apply_ms: z.coerce.number().int().positive().default(3_000),
    })
    .prefault({}),
  log: z
    .object({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** The settings of one gateway process. */
export type GatewaySettings = z.infer<typeof SETTINGS_SCHEMA>;

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
