/** A randomized soak test of the gateway with faults outside of its processes. */
export {runSoak} from './run_soak.js';
export type {SoakReport, SoakSettings} from './run_soak.js';
