/** Load generator, history checker, experiment scenarios and reports. */
export {checkHistory, violationCount} from './history/check_history.js';
export type * from './history/check_result.js';
export type * from './history/history_event.js';
