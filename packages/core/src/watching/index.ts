export * from './decide_follow.js';
export {selectWatchers} from './select_watchers.js';
