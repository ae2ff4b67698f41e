export * from './choose_successor.js';
export type * from './leadership_record.js';
export * from './primary_lease.js';
export * from './restored_leadership.js';
export * from './store_clock.js';
export * from './suspicion.js';
export * from './take_duty.js';
