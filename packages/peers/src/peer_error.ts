/** Why a request to another VM failed. */
export type PeerError =
  /** No byte of the request was sent. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** The request was sent and may have taken effect. */
  | {readonly kind: 'no-answer'; readonly detail: string}
  /** The VM rejected the request before handling it. */
  | {readonly kind: 'rejected'; readonly detail: string};
