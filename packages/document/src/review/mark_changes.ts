import type {DocumentChange} from '../compare_documents.js';
import type {DocumentFinding} from '../document_error.js';
import type {DocumentSections} from '../document_sections.js';
import {errorAt} from '../reference_rules.js';
import type {SectionKind} from '../section_schemas.js';
import type {ChangeKind} from './review_finding.js';

/** What a change does to callers or connections. */
export type ChangeMark =
  | 'closes-sessions'
  | 'withdraws-key'
  | 'moves-key'
  | 'withdraws-route'
  | 'moves-route'
  | 'withdraws-service'
  | 'disconnects-server';

/** A change with its effects. */
export type MarkedChange = DocumentChange & {
  readonly marks: readonly ChangeMark[];
};

/** Adds to each change what it does to callers or connections. */
export function markChanges(
  changes: readonly DocumentChange[],
  before: DocumentSections,
  after: DocumentSections,
): readonly MarkedChange[] {
  const remaining = new Set(after.key.map(key => key.values.verifier));
  const previous = new Map(
    before.key.map(key => [key.name, key.values.verifier]),
  );
  /** The same key under another name is moved; its sessions still close. */
  const marksOfLostKey = (name: string): readonly ChangeMark[] => [
    'closes-sessions',
    remaining.has(previous.get(name) ?? '') ? 'moves-key' : 'withdraws-key',
  ];
  return changes.map(change => ({
    ...change,
    marks: marksOf(change, marksOfLostKey),
  }));
}

/** Finds withdrawals that do not take effect everywhere at once. */
export function findDelayedWithdrawals(
  changes: readonly MarkedChange[],
  after: DocumentSections,
): Array<DocumentFinding<ChangeKind>> {
  const withdraws = changes.some(item => item.marks.includes('withdraws-key'));
  const detail =
    'a withdrawn key may work in a data centre that is cut off; expected refuse';
  return after.document
    .filter(item => withdraws && item.values.when_unconfirmed === 'serve')
    .map(item =>
      errorAt(item, 'when_unconfirmed', 'withdrawal-delayed', detail),
    );
}

function marksOf(
  change: DocumentChange,
  marksOfLostKey: (name: string) => readonly ChangeMark[],
): readonly ChangeMark[] {
  switch (change.kind) {
    case 'section-added':
      return [];
    case 'section-removed':
      return change.section === 'key'
        ? marksOfLostKey(change.name)
        : marksOfRemoval(change.section);
    case 'value-changed':
      return change.section === 'key' && change.key === 'verifier'
        ? marksOfLostKey(change.name)
        : marksOfValue(change);
  }
}

function marksOfRemoval(section: SectionKind): readonly ChangeMark[] {
  switch (section) {
    case 'route':
      return ['withdraws-route'];
    case 'backend_server':
    case 'database':
      return ['disconnects-server'];
    default:
      return [];
  }
}

function marksOfValue(
  change: Extract<DocumentChange, {kind: 'value-changed'}>,
): readonly ChangeMark[] {
  const {section, key, before, after} = change;
  switch (`${section} ${key}`) {
    case 'key workspace':
      return ['closes-sessions', 'moves-key'];
    case 'data_centre state':
      return after === 'out' ? ['closes-sessions'] : [];
    case 'backend_server address.trial':
    case 'backend_server address.production':
      return ['disconnects-server'];
    case 'database members':
      return losesName(before, after) ? ['disconnects-server'] : [];
    case 'workspace services':
      return losesName(before, after) ? ['withdraws-service'] : [];
    case 'route access':
      return ['moves-route'];
    case 'route audience':
      // Callers without a key are refused on a keyed route.
      return after === 'keyed' ? ['withdraws-route'] : [];
    case 'route max_age_ms':
      // Replicas serve a read only if it accepts stale data.
      return before === '0' || after === '0' ? ['moves-route'] : [];
    default:
      return [];
  }
}

function losesName(before: string, after: string): boolean {
  const remaining = new Set(after.split(', '));
  return before.split(', ').some(name => !remaining.has(name));
}
