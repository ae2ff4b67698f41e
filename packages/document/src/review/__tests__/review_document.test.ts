import {readFileSync} from 'node:fs';
import {
  checkDocument,
  formatChange,
  formatDocumentError,
  reviewDocument,
} from '../../index.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const ENVIRONMENTS = ['trial', 'production'] as const;

function fixture(name: string): string {
  const path = `../../__tests__/__fixtures__/${name}.ini`;
  return readFileSync(new URL(path, import.meta.url), 'utf8');
}

function replace(text: string, from: string, to: string): string {
  if (!text.includes(from)) throw new Error(`the text has no ${from}`);
  return text.replace(from, to);
}

function findingsOf(text: string): readonly string[] {
  return reviewDocument(text, ENVIRONMENTS).findings.map(
    item => `${item.severity} ${item.kind}: ${formatDocumentError(item)}`,
  );
}

const SMALL = fixture('small');
const KEY = SMALL.slice(SMALL.indexOf('[key w-1]'), SMALL.indexOf('[route'));
const SPARE = `
[backend_server spare]
data_centre = a
address.trial = 10.0.1.9:3306
address.production = 10.1.1.9:3306
connections = 15
slots = 2
`;

/** One seeded fault for each kind of warning that a single document can have. */
const SEEDED: ReadonlyArray<readonly [string, string]> = [
  ['few-members', replace(SMALL, 'db-a, db-b, db-c', 'db-a, db-c')],
  ['even-members', replace(SMALL, 'db-b, db-c', 'db-b, db-c, spare') + SPARE],
  ['one-data-centre', SMALL.replace(/data_centre = [bc]/g, 'data_centre = a')],
  ['no-member-in-service', SMALL.replace(/slots = 2/g, '$&\nstate = leaving')],
  ['minority-in-service', replace(SMALL, 'slots = 2', '$&\nstate = leaving')],
  ['few-connections', replace(SMALL, 'connections = 15', 'connections = 6')],
  ['workspace-without-key', replace(SMALL, KEY, '')],
  ['open-write', `${SMALL}[route put]\naccess = write\naudience = open\n`],
  ['acknowledge-without-effect', `${SMALL}acknowledge = primary\n`],
  ['server-without-database', SMALL + SPARE],
  [
    'service-without-workspace',
    `${SMALL}${SPARE}[database extra]\nservice = archive\nmembers = spare\n`,
  ],
  ['route-without-caller', replace(SMALL, KEY, '')],
  [
    'no-data-centre-in-service',
    SMALL.replace(/(\[data_centre [ac]\])/g, '$1\nstate = out'),
  ],
  ['slots-above-connections', replace(SMALL, 'slots = 2', 'slots = 10')],
  ['burst-below-shares', replace(SMALL, 'burst = 20', 'burst = 2')],
];

describe('reviewDocument', () => {
  // Guards against a kind of fault that a review does not report.
  it.each(SEEDED)('finds a seeded %s', (kind, text) => {
    const findings = findingsOf(text);
    expect(findings.join('\n')).toContain(`warning ${kind}: `);
    expect(findings).toMatchSnapshot();
  });

  // Guards against a review that stops at the first error, and against
  // warnings that are only due to sections left out for their errors.
  it.each(['bad_syntax', 'bad_values', 'bad_references'])(
    'reports every error of %s and no warning',
    name => {
      const {errors} = checkDocument(fixture(name), ENVIRONMENTS);
      const review = reviewDocument(fixture(name), ENVIRONMENTS);
      expect(review.verdict).toBe('errors');
      expect(review.findings).toEqual(
        errors.map(err => ({severity: 'error', ...err})),
      );
    },
  );

  // Guards against findings in the documented examples.
  it.each(['authority', 'leafmark'])('finds nothing in %s', name => {
    const path = `../../../../../docs/examples/${name}.ini`;
    const text = readFileSync(new URL(path, import.meta.url), 'utf8');
    expect(findingsOf(text)).toEqual([]);
  });

  // Guards against false findings in a valid document.
  it('finds nothing in generated documents without faults', () => {
    fc.assert(
      fc.property(faultless(), text => {
        expect(findingsOf(text)).toEqual([]);
        const {sections} = reviewDocument(text, ENVIRONMENTS);
        const same = reviewDocument(text, ENVIRONMENTS, sections);
        expect(same.changes).toEqual([]);
      }),
      {seed: 8, numRuns: 100},
    );
  });
});

describe('reviewDocument against the version in force', () => {
  /** Changes that each have a mark, or have none. */
  const changes: ReadonlyArray<readonly [string, string]> = [
    ['a withdrawn key', replace(SMALL, KEY, '')],
    ['a replaced verifier', replace(SMALL, '0123456789abcdef', 'f'.repeat(16))],
    ['a renamed key', replace(SMALL, '[key w-1]', '[key w-9]')],
    [
      'a moved key',
      `${replace(SMALL, 'workspace = w\n', 'workspace = v\n')}[workspace v]\nrate = 1\nburst = 9\nservices = ledger\n`,
    ],
    ['a removed route', SMALL.slice(0, SMALL.indexOf('[route look]'))],
    ['a route that writes', SMALL.replace(/read\nmax.*/, 'write')],
    ['a lower age', replace(SMALL, 'max_age_ms = 500', 'max_age_ms = 400')],
    ['a data centre out', replace(SMALL, 'region = r', '$&\nstate = out')],
    ['an address', replace(SMALL, '10.0.1.1', '10.0.1.7')],
    ['a removed member', replace(SMALL, 'db-a, db-b, db-c', 'db-a, db-c')],
    ['an added server', SMALL + SPARE],
    [
      'a lost service',
      replace(SMALL, 'services = ledger', 'services = archive') +
        `${SPARE}[database extra]\nservice = archive\nmembers = spare\n`,
    ],
    ['a serving withdrawal', fixture('changed')],
  ];

  // Guards against a change that disconnects callers without a mark, and
  // against a verifier that is shown.
  it.each(changes)('marks %s', (_name, text) => {
    const {sections} = reviewDocument(SMALL, ENVIRONMENTS);
    const review = reviewDocument(text, ENVIRONMENTS, sections);
    expect(JSON.stringify(review.changes)).not.toMatch(/[0-9a-f]{40}/);
    expect({
      changes: review.changes.map(item => [formatChange(item), ...item.marks]),
      kinds: review.findings.map(item => item.kind),
    }).toMatchSnapshot();
  });
});

// Guards against a route that refuses callers without a key unannounced.
it('marks a route that needs a key from now on', () => {
  const {sections} = reviewDocument(`${SMALL}audience = open\n`, ENVIRONMENTS);
  const {changes} = reviewDocument(SMALL, ENVIRONMENTS, sections);
  expect(changes.map(item => item.marks)).toEqual([['withdraws-route']]);
});

/** Generates a document with three data centres and no fault. */
function faultless(): fc.Arbitrary<string> {
  const database = fc.record({
    connections: fc.integer({min: 13, max: 500}),
    slots: fc.integer({min: 1, max: 9}),
  });
  const workspace = fc.record({
    rate: fc.integer({min: 1, max: 9_999}),
    burst: fc.integer({min: 3, max: 9_999}),
  });
  const route = fc.record({
    access: fc.constantFrom(
      'read',
      'read\nmax_age_ms = 9\naudience = open',
      'write\nacknowledge = primary',
    ),
    deadline: fc.integer({min: 1, max: 600_000}),
  });
  const some = {minLength: 1, maxLength: 5};
  return fc
    .tuple(
      fc.array(database, some),
      fc.array(workspace, some),
      fc.array(route, some),
    )
    .map(([databases, workspaces, routes]) =>
      [
        ...['a', 'b', 'c'].map(name => `[data_centre ${name}]\nregion = r`),
        ...databases.flatMap(({connections, slots}, d) => [
          ...['a', 'b', 'c'].map(
            (name, m) =>
              `[backend_server d${d}-${name}]\ndata_centre = ${name}\n` +
              `address.trial = 10.0.${d}.${m}:1\naddress.production = 10.1.${d}.${m}:1\n` +
              `connections = ${connections}\nslots = ${slots}`,
          ),
          `[database d${d}]\nservice = s\nmembers = d${d}-a, d${d}-b, d${d}-c`,
        ]),
        ...workspaces.map(
          ({rate, burst}, w) =>
            `[workspace w${w}]\nrate = ${rate}\nburst = ${burst}\nservices = s\n` +
            `[key k${w}]\nworkspace = w${w}\nverifier = ${String(w).repeat(40)}`,
        ),
        ...routes.map(
          ({access, deadline}, r) =>
            `[route r${r}]\naccess = ${access}\ndeadline_ms = ${deadline}`,
        ),
      ].join('\n'),
    );
}
