/** Why a request to another VM failed. */
export type PeerError =
  /** No byte of the request was sent. */
  | {
      readonly kind: 'unreachable';
      readonly detail: string;
      /** Why, if the VM may still be there: no connection opened in time. */
      readonly cause?: 'connect-timeout' | undefined;
    }
  /** The request was sent and may have taken effect. */
  | {readonly kind: 'no-answer'; readonly detail: string}
  /** The VM rejected the request before handling it. */
  | {readonly kind: 'rejected'; readonly detail: string};
