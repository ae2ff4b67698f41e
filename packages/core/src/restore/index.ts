export * from './decide_entry.js';
export * from './decide_operator_state.js';
export * from './store_version.js';
