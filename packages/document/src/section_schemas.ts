import * as z from 'zod';

const MAX_RATE = 10_000_000;
const MAX_DEADLINE_MS = 600_000;
const MAX_AGE_MS = 86_400_000;
const MAX_CONNECTIONS = 100_000;
const MAX_REASON_LENGTH = 200;
const MAX_PORT = 65_535;

const NAME = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9_-]{0,63}$/,
    'expected a name of lower-case letters, digits, - and _',
  );

const NAME_LIST = z
  .string()
  .transform(text => text.split(',').map(item => item.trim()))
  .pipe(z.array(NAME))
  .refine(
    names => new Set(names).size === names.length,
    'expected each name once',
  );

/**
 * Creates a schema for decimal whole numbers. A pattern checks the text, as
 * `Number` would also accept `0x10`, `1e3` and an empty text.
 */
function wholeNumber(min: number, max: number) {
  const detail = `expected a whole number from ${min} to ${max}`;
  return z
    .string(detail)
    .regex(/^\d{1,9}$/, detail)
    .transform(Number)
    .refine(value => value >= min && value <= max, detail);
}

const RATE_DETAIL = `expected a number above 0 and up to ${MAX_RATE}`;
const RATE = z
  .string(RATE_DETAIL)
  .regex(/^\d{1,9}(\.\d{1,6})?$/, RATE_DETAIL)
  .transform(Number)
  .refine(value => value > 0 && value <= MAX_RATE, RATE_DETAIL);

const BOOLEAN = z
  .enum(['true', 'false'], 'expected true or false')
  .transform(text => text === 'true');

/** The address of a listening socket, as `host:port`. */
export const ADDRESS = z
  .string('expected host:port')
  .regex(/^[A-Za-z0-9.[\]:_-]+:\d{1,5}$/, 'expected host:port')
  .refine(text => {
    const port = Number(text.slice(text.lastIndexOf(':') + 1));
    return port >= 1 && port <= MAX_PORT;
  }, `expected a port from 1 to ${MAX_PORT}`);

const REASON = z
  .string()
  .min(1, 'expected a text')
  .max(MAX_REASON_LENGTH, `expected at most ${MAX_REASON_LENGTH} characters`)
  .optional();

function oneOf<const T extends readonly [string, ...string[]]>(values: T) {
  return z.enum(values, `expected ${values.join(' or ')}`);
}

/** The schema of each kind of section. Keys that are not listed are errors. */
export const SECTION_SCHEMAS = {
  document: z.strictObject({
    when_unconfirmed: oneOf(['refuse', 'serve']).default('refuse'),
    reason: REASON,
  }),
  data_centre: z.strictObject({
    region: NAME,
    state: oneOf(['in-service', 'out']).default('in-service'),
    reason: REASON,
  }),
  backend_server: z.strictObject({
    data_centre: NAME,
    'address.trial': ADDRESS.optional(),
    'address.production': ADDRESS.optional(),
    state: oneOf(['in-service', 'leaving']).default('in-service'),
    connections: wholeNumber(1, MAX_CONNECTIONS),
    slots: wholeNumber(1, MAX_CONNECTIONS),
    reason: REASON,
  }),
  database: z.strictObject({
    service: NAME,
    members: NAME_LIST,
    reason: REASON,
  }),
  workspace: z.strictObject({
    rate: RATE,
    burst: wholeNumber(1, MAX_RATE),
    services: NAME_LIST,
    reason: REASON,
  }),
  key: z.strictObject({
    workspace: NAME,
    verifier: z
      .string()
      .regex(/^[0-9a-f]{40}$/, 'expected 40 hexadecimal digits (lower case)'),
    reason: REASON,
  }),
  route: z.strictObject({
    access: oneOf(['read', 'write']),
    repeatable: BOOLEAN.default(false),
    audience: oneOf(['keyed', 'open']).default('keyed'),
    max_age_ms: wholeNumber(0, MAX_AGE_MS).default(0),
    deadline_ms: wholeNumber(1, MAX_DEADLINE_MS).default(5_000),
    acknowledge: oneOf(['majority', 'primary']).default('majority'),
    reason: REASON,
  }),
} as const;

/** The kinds of section in a document. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;
/** The validated values of a section of kind `K`, with defaults. */
export type SectionValues<K extends SectionKind> = z.infer<
  (typeof SECTION_SCHEMAS)[K]
>;
