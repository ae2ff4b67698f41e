import type {LogPosition} from '../session/log_position.js';

/** The phases of an attempt in order; it ends as `done` or `abandoned`. */
export type AttemptPhase =
  | 'claim'
  | 'fence'
  | 'choose-candidate'
  | 'promote'
  | 'follow'
  | 'publish'
  | 'done'
  | 'abandoned';

/** Why an attempt starts: a failover or a switchover. */
export type AttemptReason = 'suspicion' | 'planned-move';

/** Why an attempt ended before its promotion was confirmed. */
export type AbandonReason =
  /** Another VM claimed or finished a term that this VM had not seen. */
  | 'claimed-by-other'
  /** The group became healthy before the attempt had set a fence. */
  | 'recovered'
  /** This VM was paused before the attempt had set a fence. */
  | 'paused'
  /** A member is fenced at a higher term or by another owner. */
  | 'superseded'
  /** No majority of the members was fenced in time. */
  | 'no-majority'
  /** The candidate was not promoted in time. */
  | 'candidate-unreachable';

/** Whether the operators' configuration allows a member to be primary. */
export type PrimaryEligibility = 'allowed' | 'leaving';

/** A member of the group, as the configuration lists it. */
export interface AttemptMember {
  readonly backendServer: string;
  /** Where the other members replicate from when it is primary. */
  readonly address: string;
  readonly eligibility: PrimaryEligibility;
}

/** The value of the store's row that serialises and records attempts. */
export interface ClaimRow {
  readonly term: number;
  /** The owner of the attempt, as in `Attempt.owner`. */
  readonly owner: string;
  readonly state: 'claimed' | 'done';
  /** Name of the primary of a finished attempt, otherwise empty. */
  readonly primary: string;
}

/** The next access to the claim row, or that none is left in this phase. */
export type RowStep = 'read' | 'write' | 'finished';

/** One VM's attempt to replace the primary of a group in one term. */
export interface Attempt {
  readonly database: string;
  /** Identifies a run of a VM: it differs after a restart. */
  readonly owner: string;
  readonly reason: AttemptReason;
  readonly phase: AttemptPhase;
  readonly abandoned?: AbandonReason;
  /** 0 until the `claim` phase has chosen a term. */
  readonly term: number;
  /** The highest term that this VM had seen when the attempt started. */
  readonly highestSeenTerm: number;
  readonly startedAt: number;
  readonly phaseSince: number;
  readonly members: readonly AttemptMember[];
  /** The primary that is replaced; empty if the group had none. */
  readonly formerPrimary: string;
  /** The members that answered the last poll before the attempt. */
  readonly reachable: readonly string[];
  readonly row: RowStep;
  /** The version of the claim row that was last read or written. */
  readonly rowVersion: number;
  /** As in `FailoverState.awaitedClaimVersion` when the attempt started. */
  readonly awaitedClaimVersion: number;
  /** The end of the log of each fenced member, by name of the member. */
  readonly fenced: Readonly<Record<string, LogPosition>>;
  /** When a majority of the members was fenced. */
  readonly majorityFencedAt?: number;
  /**
   * The member to promote. It never changes within an attempt, so that a term
   * has at most one candidate.
   */
  readonly candidate?: string;
  readonly promotion: 'pending' | 'done';
  /** The members that have confirmed that they follow the candidate. */
  readonly followed: readonly string[];
  /** When each call of the current phase is next sent, by target. */
  readonly dueAt: Readonly<Record<string, number>>;
}

/** How a member answered a call. */
export type CallOutcome =
  /** The call took effect; `received` is the end of the member's log. */
  | {readonly kind: 'done'; readonly received: LogPosition}
  /** The member is fenced at a higher term or by another owner. */
  | {readonly kind: 'refused'}
  | {readonly kind: 'no-answer'};

/** A call to a member; each has the same effect when it is repeated. */
export type MemberCall = 'fence' | 'promote' | 'follow';

/** An input of an attempt. */
export type AttemptEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'row-read';
      readonly row: ClaimRow | undefined;
      readonly version: number;
    }
  | {readonly kind: 'row-written'; readonly version: number}
  /** An access to the claim row failed, or its outcome is unknown. */
  | {
      readonly kind: 'row-failed';
      readonly reason: 'conflict' | 'unavailable' | 'unknown-outcome';
    }
  | {
      readonly kind: 'answered';
      readonly call: MemberCall;
      readonly backendServer: string;
      readonly term: number;
      readonly outcome: CallOutcome;
    };

/** A call to the store or to a member that an attempt requires. */
export type AttemptAction =
  | {readonly kind: 'read-row'}
  | {
      readonly kind: 'write-row';
      readonly row: ClaimRow;
      /** The version that the row must still have. */
      readonly expected: number;
    }
  | {
      readonly kind: 'fence' | 'promote';
      readonly backendServer: string;
      readonly term: number;
      readonly owner: string;
    }
  | {
      readonly kind: 'follow';
      readonly backendServer: string;
      readonly term: number;
      /** Address of the primary. */
      readonly primary: string;
    };
