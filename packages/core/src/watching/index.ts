export * from './decide_follow.js';
export * from './missing_member.js';
export {selectObservers} from './select_observers.js';
export {selectWatchers} from './select_watchers.js';
