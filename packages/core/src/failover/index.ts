/**
 * Decides on behalf of one VM when a group gets another primary: suspicion,
 * failover attempts and switchovers. Nothing in this folder does any I/O.
 */
export type {
  Attempt,
  AttemptAction,
  AttemptEvent,
  AttemptMember,
  CallOutcome,
  ClaimRow,
  MemberCall,
  PrimaryEligibility,
} from './attempt.js';
export {decideFailover} from './decide_failover.js';
export {FAILOVER_REPORT_KINDS} from './failover_report.js';
export {SWITCHOVER_SETTLE_MS} from './failover_limits.js';
export type {FailoverReport} from './failover_report.js';
export {initialFailoverState} from './failover_state.js';
export type {
  FailoverAction,
  FailoverMessage,
  FailoverState,
} from './failover_state.js';
