import type {z} from 'zod';
import type {DocumentError} from './document_error.js';
import {lineOf, titleOf} from './ini_sections.js';
import type {IniSection} from './ini_sections.js';

/** Converts the Zod issues of one section to errors that state valid input. */
export function toDocumentErrors(
  section: IniSection,
  issues: readonly z.core.$ZodIssue[],
  knownKeys: readonly string[],
): DocumentError[] {
  const reportedKeys = new Set<string>();
  return issues.flatMap(issue => {
    const keys =
      issue.code === 'unrecognized_keys'
        ? issue.keys
        : [String(issue.path[0] ?? '')];
    // A value may violate several rules; only the first is reported.
    const unreported = keys.filter(key => !reportedKeys.has(key));
    return unreported.map(key => {
      reportedKeys.add(key);
      const stated = section.entries.some(entry => entry.key === key);
      return {
        kind: kindOf(issue, stated),
        line: lineOf(section, key),
        section: titleOf(section),
        key,
        detail: detailOf(issue, stated, knownKeys),
      };
    });
  });
}

function kindOf(
  issue: z.core.$ZodIssue,
  stated: boolean,
): DocumentError['kind'] {
  if (issue.code === 'unrecognized_keys') return 'unknown-key';
  return stated ? 'invalid-value' : 'missing-key';
}

function detailOf(
  issue: z.core.$ZodIssue,
  stated: boolean,
  knownKeys: readonly string[],
): string {
  if (issue.code === 'unrecognized_keys') {
    return `unknown key; accepted are ${knownKeys.join(', ')}`;
  }
  if (stated) return issue.message;
  return issue.message.startsWith('expected')
    ? `the key is missing; ${issue.message}`
    : 'the key is missing';
}
