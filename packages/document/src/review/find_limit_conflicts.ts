import {connectionAllowance} from '@pistachiorill/core';
import type {DocumentFinding} from '../document_error.js';
import type {DocumentSections} from '../document_sections.js';
import {errorAt} from '../reference_rules.js';
import type {LimitKind} from './review_finding.js';

type LimitFinding = DocumentFinding<LimitKind>;

/**
 * Finds limits that contradict each other. The document does not state the
 * number of VMs, so one VM in each data centre is assumed.
 */
export function findLimitConflicts(sections: DocumentSections): LimitFinding[] {
  const vmCount = Math.max(1, sections.data_centre.length);
  return [
    ...slotConflicts(sections, vmCount),
    ...burstConflicts(sections, vmCount),
  ];
}

/** Members without connections for statements are `few-connections`. */
function slotConflicts(
  sections: DocumentSections,
  vmCount: number,
): LimitFinding[] {
  return sections.backend_server.flatMap(server => {
    const {connections, slots} = server.values;
    const usable = vmCount * connectionAllowance(connections, vmCount);
    if (usable < 1 || slots <= usable) return [];
    const detail = `expected at most ${usable}, the connections that ${vmCount} owner VMs leave for statements`;
    return [errorAt(server, 'slots', 'slots-above-connections', detail)];
  });
}

function burstConflicts(
  sections: DocumentSections,
  vmCount: number,
): LimitFinding[] {
  const detail = `expected at least ${vmCount}, so that the share of a VM in each data centre allows one statement`;
  return sections.workspace
    .filter(workspace => workspace.values.burst < vmCount)
    .map(workspace =>
      errorAt(workspace, 'burst', 'burst-below-shares', detail),
    );
}
