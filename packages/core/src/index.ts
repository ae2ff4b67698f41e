/**
 * Decisions without I/O: statements, sessions, routing, quotas, failover,
 * membership and configuration.
 */
export {ByteBudget} from './admission/byte_budget.js';
export * from './admission/client_limits.js';
export {DeficitRoundRobinPolicy} from './admission/deficit_round_robin_policy.js';
export * from './admission/adaptive_concurrency.js';
export type {ClientLimit} from './admission/client_limit.js';
export * from './admission/client_timeout.js';
export * from './admission/connection_admission.js';
export * from './admission/decide_reading.js';
export * from './admission/expected_wait.js';
export {FifoPolicy} from './admission/fifo_policy.js';
export * from './admission/limit_decisions.js';
export {LimitLog} from './admission/limit_log.js';
export {ResultBudget} from './admission/result_budget.js';
export type {ResultDecision} from './admission/result_budget.js';
export {PriorityPolicy} from './admission/priority_policy.js';
export {QueuePolicy} from './admission/queue_policy.js';
export type {EnqueueOutcome, QueueEntry} from './admission/queue_policy.js';
export * from './admission/return_schedule.js';
export * from './admission/process_budget.js';
export * from './admission/select_for_shedding.js';
export * from './authority/authority_state.js';
export * from './authority/confirmation.js';
export * from './authority/decide_authority.js';
export {proofProbeTargets} from './authority/proof_probe_targets.js';
export {Filter} from './common/filter.js';
export * from './common/observation_period.js';
export {Random} from './common/random.js';
export {rankDelayMs} from './common/rank_delay.js';
export {rendezvousOrder} from './common/rendezvous.js';
export {
  MAX_VMS_WITHOUT_SELECTION,
  selectRepresentatives,
} from './common/representatives.js';
export {fail, ok} from './common/result.js';
export type {Result} from './common/result.js';
export type * from './configuration/configuration.js';
export {decideQuota} from './quota/decide_quota.js';
export type {QuotaDecision} from './quota/decide_quota.js';
export * from './quota/ledger.js';
export type {LoanGrant, LoanKind, LoanRequest} from './quota/loan.js';
export * from './quota/quota_limits.js';
export type {PeerSpare} from './quota/borrow.js';
export type {QuotaEffect, QuotaMessage} from './quota/quota_message.js';
export {maxLentPpm, newQuotaState} from './quota/quota_state.js';
export type {QuotaState} from './quota/quota_state.js';
export {AcknowledgementPolicy} from './routing/acknowledgement_policy.js';
export type {RequiredProof} from './routing/acknowledgement_policy.js';
export {AtPrimaryAcknowledgementPolicy} from './routing/at_primary_acknowledgement_policy.js';
export {ENVIRONMENTS} from './configuration/environment.js';
export type {Environment} from './configuration/environment.js';
export * from './configuration/configuration_row.js';
export * from './configuration/drain.js';
export {ledgerKey} from './configuration/ledger_key.js';
export * from './configuration/next_configuration.js';
export type * from './configuration/promotion.js';
export {
  advancePromotion,
  rolloutOf,
  startPromotion,
} from './configuration/promotion_machine.js';
export type {
  PromotionProgress,
  PromotionState,
} from './configuration/promotion_machine.js';
export {attemptDeadline} from './retry/attempt_deadline.js';
export {decideRetry} from './retry/decide_retry.js';
export type {
  FailedAttempt,
  Repeatability,
  RetryDecision,
} from './retry/decide_retry.js';
export * from './retry/overload_retry.js';
export * from './retry/retry_budget.js';
export * from './failover/index.js';
export * from './watching/index.js';
export * from './restore/index.js';
export * from './owners/index.js';
export * from './connections/forward_targets.js';
export * from './connections/group_owners.js';
export * from './connections/may_open_connections.js';
export * from './membership/decide_membership.js';
export * from './membership/membership_state.js';
export type * from './membership/peer_record.js';
export {
  MAX_CHANGES_PER_MESSAGE,
  retransmissionLimit,
  shuffle,
  selectChanges,
} from './membership/select_changes.js';
export * from './routing/freshness.js';
export * from './routing/group_view.js';
export type * from './routing/member_state.js';
export * from './routing/outlier_ejection.js';
export {PrimaryOnlyPolicy} from './routing/primary_only_policy.js';
export {ReadPolicy} from './routing/read_policy.js';
export type {MemberChoice, MemberRequest} from './routing/read_policy.js';
export {ReplicaFirstPolicy} from './routing/replica_first_policy.js';
export * from './routing/route.js';
export {RouteAcknowledgementPolicy} from './routing/route_acknowledgement_policy.js';
export * from './session/log_position.js';
export type * from './session/session_requirement.js';
export * from './session/session_token.js';
export {AcceptFilter} from './statement/accept_filter.js';
export {AuthenticateFilter} from './statement/authenticate_filter.js';
export {MatchRouteFilter} from './statement/match_route_filter.js';
export {ParseOptionsFilter} from './statement/parse_options_filter.js';
export * from './statement/refusal.js';
export {visitTokens} from './statement/sql_scanner.js';
export type * from './statement/statement.js';
export type {TransactionScope} from './statement/classify_statement.js';
export type * from './configuration/runtime_configuration.js';
export * from './leadership/index.js';
export * from './usage/index.js';
export * from './quota/transfer/decide_transfer.js';
export * from './quota/transfer/share_table.js';
export * from './quota/transfer/token_bucket.js';
export * from './quota/transfer/workspace_homes.js';
export * from './routing/position_samples.js';
export * from './routing/rank_members.js';
export * from './sessions/conclude_attempt.js';
export * from './sessions/plan_preparation.js';
export * from './sessions/prepared_statement.js';
