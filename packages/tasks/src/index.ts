/** Tasks with a mailbox, and pipelines of filters. */
export {Pipeline} from './pipeline.js';
export type {Clock} from './pipeline.js';
export {ask} from './reply.js';
export type {Reply} from './reply.js';
export {settled} from './settled.js';
export {sleep, waitAtMost} from './sleep.js';
export {Task} from './task.js';
