/** A randomized soak of the gateway with faults from outside of its processes. */
export {runSoak} from './run_soak.js';
export type {SoakReport, SoakSettings} from './run_soak.js';
