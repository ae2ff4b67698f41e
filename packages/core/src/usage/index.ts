export * from './clock_comparison.js';
export * from './counts_backup.js';
export * from './report_attempts.js';
export * from './usage_bounds.js';
export * from './usage_cleanup.js';
export * from './usage_counts.js';
export * from './usage_step.js';
export * from './wall_time.js';
