/** Stand-ins for the platform and for database groups, for tests and the demo. */
export {LinkServer} from './link/link_server.js';
export type {LinkSettings, LinkState} from './link/link_server.js';
export {DEFAULT_MEMBER_CONFIG} from './member/member_config.js';
export type {MemberConfig} from './member/member_config.js';
export {MemberServer} from './member/member_server.js';
export {PlatformServer} from './platform/platform_server.js';
