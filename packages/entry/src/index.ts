/** The daemon that runs on each entry VM. */
export {EntryDaemon} from './daemon/entry_daemon.js';
