/** Starts stand-ins and entry VMs as processes, for the demo, tests and experiments. */
export {Child} from './child.js';
export {Fleet} from './fleet.js';
export {findFreePorts} from './free_ports.js';
export type {RunningVm} from './fleet.js';
export {AUTHORITY, LEAFMARK} from './profile.js';
export type {Profile, WorkspaceProfile} from './profile.js';
export {databaseNames, memberName, writeDocument} from './write_document.js';
export type {DocumentChanges} from './write_document.js';
