import type {
  PromotionOutcome,
  VersionedRow,
  VmReport,
} from '@pistachiorill/core';
import {EXIT_CODES} from './exit_code.js';
import type {ExitCode} from './exit_code.js';

/** The output and the exit code for the outcome of a promotion. */
export interface OutcomeDescription {
  readonly exitCode: ExitCode;
  readonly lines: readonly string[];
}

/** Describes the outcome of a promotion to the operator. */
export function describeOutcome(outcome: PromotionOutcome): OutcomeDescription {
  switch (outcome.kind) {
    case 'promoted':
    case 'already-in-force':
      return {
        exitCode:
          outcome.rollout === 'all' ? EXIT_CODES.done : EXIT_CODES.incomplete,
        lines: [
          outcome.kind === 'promoted'
            ? `promoted: version ${outcome.version} is in force`
            : `already in force as version ${outcome.version}; nothing was changed`,
          ...describeVms(outcome.vms, outcome.version, outcome.rollout),
        ],
      };
    case 'conflict':
      return {
        exitCode: EXIT_CODES.refused,
        lines: [
          `not promoted: ${describeRow(outcome.current)}; ` +
            'compare with it and promote again',
        ],
      };
    case 'superseded':
      return {
        exitCode: EXIT_CODES.refused,
        lines: [
          'this promotion was in force for a while and was replaced: ' +
            describeRow(outcome.current),
        ],
      };
    case 'not-accepted-in-trial':
      return {
        exitCode: EXIT_CODES.refused,
        lines: [
          'not promoted: this document has not been in force in trial; ' +
            'run trial first, or give --untried',
        ],
      };
    case 'unavailable':
      return {
        exitCode: EXIT_CODES.unavailable,
        lines: [
          `not promoted: the platform does not answer (${outcome.phase}: ` +
            `${outcome.detail}); nothing was changed`,
        ],
      };
    case 'outcome-unknown':
      return {
        exitCode: EXIT_CODES.unknown,
        lines: [
          `outcome unknown: ${outcome.detail}; ` +
            'repeat the same command when the platform answers',
        ],
      };
  }
}

function describeRow(row: VersionedRow | undefined): string {
  if (!row) return 'no version is in force';
  return `version ${row.version} by ${row.actor} is in force (operation ${row.operationId})`;
}

function describeVms(
  vms: readonly VmReport[],
  version: number,
  rollout: 'all' | 'majority' | 'minority' | 'unknown',
): readonly string[] {
  if (rollout === 'unknown') return ['the list of VMs could not be read'];
  const live = vms.filter(vm => vm.platformState === 'live');
  const running = live.filter(vm => runsVersion(vm, version));
  const majority = rollout === 'minority' ? 'NOT a majority' : 'a majority';
  return [
    `${running.length} of ${live.length} live VMs run version ${version}` +
      (rollout === 'all' ? '' : ` (${majority})`),
    ...vms.map(vm => `  ${vm.vm} (${vm.dataCentre}): ${stateOf(vm)}`),
  ];
}

function runsVersion(vm: VmReport, version: number): boolean {
  return vm.kind === 'applied' && vm.version >= version;
}

function stateOf(vm: VmReport): string {
  const state =
    vm.kind === 'applied' ? `version ${vm.version}` : `no answer, ${vm.detail}`;
  return vm.platformState === 'leaving' ? `${state}, leaving` : state;
}
