import {ENVIRONMENTS, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import * as z from 'zod';
import type {DocumentError} from './document_error.js';
import {lineOf, parseIniSections, titleOf, valuesOf} from './ini_sections.js';
import type {IniSection} from './ini_sections.js';
import {toDocumentErrors} from './schema_errors.js';
import {ADDRESS} from './section_schemas.js';

const MAX_MS = 3_600_000;
const MAX_MEMORY_MB = 16_777_216;
const MAX_DESCRIPTORS = 10_000_000;
const MAX_STATEMENT_BYTES = 64 * 1_048_576;

const NAME = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9_-]{0,63}$/,
    'expected a name of lower-case letters, digits, - and _',
  );

function wholeNumber(max: number) {
  const detail = `expected a whole number from 1 to ${max}`;
  return z
    .string(detail)
    .regex(/^\d{1,9}$/, detail)
    .transform(Number)
    .refine(value => value >= 1 && value <= max, detail);
}

const TEXT = z.string('expected a text').min(1, 'expected a text');

const SECTIONS = {
  vm: z.strictObject({
    name: NAME,
    data_centre: NAME,
    environment: z.enum(ENVIRONMENTS, `expected ${ENVIRONMENTS.join(' or ')}`),
  }),
  listen: z.strictObject({
    clients: ADDRESS,
    peers: ADDRESS,
    http: ADDRESS,
  }),
  platform: z.strictObject({
    url: z.url({
      protocol: /^https?$/,
      error: 'expected a URL such as http://10.0.0.1:7000',
    }),
    timeout_ms: wholeNumber(MAX_MS).prefault('500'),
  }),
  backend: z.strictObject({
    user: TEXT,
    password: z.string('expected a text'),
    control_user: TEXT,
    control_password: z.string('expected a text'),
    /** Source address of connections to backend servers. */
    local_address: z
      .union([z.ipv4(), z.ipv6()], 'expected an IP number')
      .optional(),
  }),
  limits: z
    .strictObject({
      statement_bytes: wholeNumber(MAX_STATEMENT_BYTES).prefault('1048576'),
      transaction_idle_ms: wholeNumber(MAX_MS).prefault('30000'),
      grace_ms: wholeNumber(MAX_MS).prefault('20000'),
      /** Memory of the machine; by default as the system reports it. */
      memory_mb: wholeNumber(MAX_MEMORY_MB).optional(),
      /** Descriptors of the process; by default as the system reports them. */
      descriptors: wholeNumber(MAX_DESCRIPTORS).optional(),
      client_connections: wholeNumber(MAX_DESCRIPTORS).optional(),
      address_connections: wholeNumber(MAX_DESCRIPTORS).optional(),
      login_timeout_ms: wholeNumber(MAX_MS).prefault('10000'),
      packet_timeout_ms: wholeNumber(MAX_MS).prefault('30000'),
      read_timeout_ms: wholeNumber(MAX_MS).prefault('30000'),
    })
    .prefault({}),
  routing: z
    .strictObject({
      mode: z
        .enum(['direct', 'owners'], 'expected direct or owners')
        .default('owners'),
    })
    .prefault({}),
  // Baseline policies for experiments; in operation, the defaults apply.
  policy: z
    .strictObject({
      reads: z.enum(['replica-first', 'primary-only']).default('replica-first'),
      queue: z.enum(['fair', 'arrival-order']).default('fair'),
      rates: z.enum(['loans', 'static-shares']).default('loans'),
      acknowledge: z.enum(['route', 'at-primary']).default('route'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z
        .enum(
          ['debug', 'info', 'warn', 'error'],
          'expected debug, info, warn or error',
        )
        .default('info'),
    })
    .prefault({}),
};

const SETTINGS_SCHEMA = z.strictObject(SECTIONS);

/** The settings of one `pistachiorill entry` process. */
export type ProcessSettings = z.infer<typeof SETTINGS_SCHEMA>;

type SettingsSection = keyof typeof SECTIONS;

/** Parses and validates the settings file of a process; returns all errors. */
export function parseProcessSettings(
  text: string,
): Result<ProcessSettings, readonly DocumentError[]> {
  const file = parseIniSections(text);
  const errors = [
    ...file.errors,
    ...file.sections.flatMap(sectionErrors),
    ...missingSections(file.sections),
    ...addressConflicts(file.sections),
  ];
  if (errors.length > 0) {
    return fail(errors.sort((a, b) => (a.line ?? 0) - (b.line ?? 0)));
  }
  const values = Object.fromEntries(
    file.sections.map(section => [section.kind, valuesOf(section)]),
  );
  return ok(SETTINGS_SCHEMA.parse(values));
}

function sectionErrors(section: IniSection): DocumentError[] {
  if (section.name !== '' || !Object.hasOwn(SECTIONS, section.kind)) {
    return [
      {
        kind: 'unknown-section',
        line: section.line,
        section: titleOf(section),
        key: '',
        detail: `unknown section; accepted are ${Object.keys(SECTIONS).join(', ')}`,
      },
    ];
  }
  const schema = SECTIONS[section.kind as SettingsSection];
  const parsed = schema.safeParse(valuesOf(section));
  if (parsed.success) return [];
  const object = 'unwrap' in schema ? schema.unwrap() : schema;
  return toDocumentErrors(
    section,
    parsed.error.issues,
    Object.keys(object.shape),
  );
}

function missingSections(sections: readonly IniSection[]): DocumentError[] {
  const names = Object.keys(SECTIONS) as SettingsSection[];
  return names
    .filter(name => !('unwrap' in SECTIONS[name]))
    .filter(name => !sections.some(section => section.kind === name))
    .map(name => ({
      kind: 'missing-section',
      line: undefined,
      section: name,
      key: '',
      detail: 'the section is missing',
    }));
}

/** Finds duplicate addresses, as two listening sockets cannot share one. */
function addressConflicts(sections: readonly IniSection[]): DocumentError[] {
  const listen = sections.find(section => section.kind === 'listen');
  if (!listen) return [];
  return listen.entries.flatMap((entry, index) => {
    const first = listen.entries
      .slice(0, index)
      .find(earlier => earlier.value === entry.value);
    if (!first) return [];
    return [
      {
        kind: 'conflict',
        line: lineOf(listen, entry.key),
        section: 'listen',
        key: entry.key,
        detail: `${first.key} has the same address`,
      },
    ];
  });
}
