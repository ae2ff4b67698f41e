import type {Environment} from '@pistachiorill/core';
import {readVmStatuses} from '@pistachiorill/store';
import type {GroupStatus, VmStatusResult} from '@pistachiorill/store';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import {formatTable} from '../support/format_table.js';
import type {Output} from '../support/output.js';
import type {Platform} from '../support/platform.js';
import {readCurrentDocument} from '../support/read_current_document.js';

/**
 * Prints the version in force, what is out of service, and the status of VMs
 * and groups.
 */
export async function runStatus(
  environment: Environment,
  platform: Platform,
  out: Output,
): Promise<ExitCode> {
  const current = await readCurrentDocument(environment, platform);
  const answers = await readVmStatuses(platform.vms, platform.timeoutMs);
  if (!current.ok) out.warn(`the document is not known: ${current.err}`);
  if (!answers) out.warn('the list of VMs could not be read');
  const answersOfEnvironment = (answers ?? []).filter(
    answer =>
      answer.kind !== 'status' || answer.status.environment === environment,
  );
  if (current.ok) {
    const {row, sections} = current.value;
    out.print(
      row
        ? `${environment}: version ${row.version} by ${row.actor}, hash ${row.hash}`
        : `${environment}: no document has been promoted`,
    );
    for (const item of sections.data_centre) {
      if (item.values.state === 'out') {
        out.print(
          `data centre ${item.name} is out of service${reasonSuffix(item)}`,
        );
      }
    }
    for (const item of sections.backend_server) {
      if (item.values.state === 'leaving') {
        out.print(
          `backend server ${item.name} is leaving${reasonSuffix(item)}`,
        );
      }
    }
  }
  printTable('VMs', vmRows(answersOfEnvironment), out);
  printTable('groups', groupRows(answersOfEnvironment), out);
  return current.ok && answers ? EXIT_CODES.done : EXIT_CODES.unavailable;
}

function reasonSuffix(item: {values: {reason?: string | undefined}}): string {
  return item.values.reason === undefined ? '' : ` (${item.values.reason})`;
}

function printTable(
  title: string,
  rows: ReadonlyArray<readonly string[]>,
  out: Output,
): void {
  out.print('');
  out.print(`${title}:`);
  for (const line of formatTable(rows)) out.print(`  ${line}`);
}

function vmRows(answers: readonly VmStatusResult[]): string[][] {
  const rows = answers.map(answer => {
    const {vm, dataCentre, state} = answer.listed;
    if (answer.kind !== 'status') {
      return [
        vm,
        dataCentre,
        state,
        '-',
        '-',
        '-',
        `no answer: ${answer.detail}`,
      ];
    }
    const {status} = answer;
    const reasons = status.drainReasons.join(', ');
    return [
      vm,
      dataCentre,
      state,
      String(status.version),
      status.confirmation,
      String(status.connections),
      reasons === '' ? status.lifecycle : `${status.lifecycle}: ${reasons}`,
    ];
  });
  const header = [
    'VM',
    'DATA CENTRE',
    'LISTED',
    'VERSION',
    'VIEW',
    'CALLERS',
    'STATE',
  ];
  return [header, ...rows];
}

/**
 * Lists the members of each group. If VMs report different views of a group,
 * the one with the highest term is used, and among equal terms the one with the
 * most reachable members.
 */
function groupRows(answers: readonly VmStatusResult[]): string[][] {
  const best = new Map<string, GroupStatus>();
  for (const answer of answers) {
    if (answer.kind !== 'status') continue;
    for (const group of answer.status.groups) {
      const known = best.get(group.database);
      if (!known || isBetter(group, known)) best.set(group.database, group);
    }
  }
  const rows = [...best.values()]
    .sort((a, b) => (a.database < b.database ? -1 : 1))
    .flatMap(group =>
      group.members.map(member => [
        group.database,
        String(group.term),
        member.backendServer,
        member.dataCentre,
        member.role,
        member.lagEntries === undefined ? '-' : String(member.lagEntries),
        member.reachability === 'reachable'
          ? member.accepting === 'yes'
            ? 'accepting'
            : 'draining'
          : member.reachability,
      ]),
    );
  return [
    ['DATABASE', 'TERM', 'MEMBER', 'DATA CENTRE', 'ROLE', 'LAG', 'STATE'],
    ...rows,
  ];
}

function isBetter(group: GroupStatus, known: GroupStatus): boolean {
  if (group.term !== known.term) return group.term > known.term;
  return reachableMembers(group) > reachableMembers(known);
}

function reachableMembers(group: GroupStatus): number {
  return group.members.filter(m => m.reachability === 'reachable').length;
}
