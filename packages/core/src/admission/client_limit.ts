/** The limits that protect a process from its clients. */
export type ClientLimit =
  /** Connections of one entry point. */
  | 'connections'
  | 'connections-per-address'
  /** Time from the start of a connection to its login. */
  | 'login-time'
  /** Time from the first byte of a message to its end. */
  | 'message-time'
  /** Time for which an answer is not read. */
  | 'answer-time'
  | 'message-size'
  /** Bytes of answers that one client leaves unread. */
  | 'unread-answers'
  /** Bytes of values and prepared statements that one session holds. */
  | 'session-state'
  /** Bytes of one answer of a member. */
  | 'answer-size'
  /** Bytes that the process holds for all clients. */
  | 'process-memory';
