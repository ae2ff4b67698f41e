/** Starts stand-ins and entry VMs as processes, for the demo, tests and experiments. */
export {ProgramProcess} from './program_process.js';
export {Fleet} from './fleet.js';
export {findFreePorts} from './free_ports.js';
export type {RunningVm} from './fleet.js';
export {AUTHORITY_PROFILE, LEAFMARK_PROFILE} from './profile.js';
export type {Profile, WorkspaceProfile} from './profile.js';
export {databaseNames, memberName, renderDocument} from './render_document.js';
export type {DocumentChanges} from './render_document.js';
