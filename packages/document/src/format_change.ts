import type {DocumentChange} from './compare_documents.js';

/** Formats a change as one line for operators. */
export function formatChange(change: DocumentChange): string {
  const title = `[${`${change.section} ${change.name}`.trim()}]`;
  const reason = change.reason === undefined ? '' : ` (${change.reason})`;
  switch (change.kind) {
    case 'section-added':
      return `+ ${title}${reason}`;
    case 'section-removed':
      return `- ${title}${reason}`;
    case 'value-changed':
      return `~ ${title} ${change.key}: ${change.before || '(none)'} -> ${change.after || '(none)'}${reason}`;
  }
}
