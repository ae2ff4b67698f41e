export * from './forward_failure.js';
export * from './loop_gap.js';
export * from './owner_health.js';
export * from './owner_targets.js';
export * from './select_owners.js';
