import {
  EMPTY_SESSION_STATE,
  applyPreparationStep,
  fail,
  ok,
  planPreparation,
  sharedStatementName,
} from '@pistachiorill/core';
import type {
  AttemptFailure,
  ConnectionSessionState,
  LogPosition,
  PreparedStatement,
  Result,
  SessionValues,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {
  LinkFault,
  MemberAnswer,
  MemberError,
  MemberErrorKind,
  MemberLink,
  MemberRequest,
} from '../ports/member_link.js';

/** The time limit for opening a connection. */
const OPEN_TIMEOUT_MS = 400;
/** The time limit of a setup command, which takes no slot of the member. */
const SETUP_TIMEOUT_MS = 400;

/** The id of statements that have none; members do not count these. */
const NO_STATEMENT_ID = '-';

/** A statement and the connection state that it requires. */
export interface ConnectionJob {
  readonly values: SessionValues;
  readonly prepared?: PreparedStatement | undefined;
  /** Begins a transaction before the statement. */
  readonly begin?: 'read' | 'write' | undefined;
  /** The log position that the member must have applied. */
  readonly after?: LogPosition | undefined;
  readonly request: MemberRequest;
  /** The time at which the statement times out. */
  readonly deadline: number;
}

/** Why a job has no result. */
export interface JobFault {
  readonly failure: AttemptFailure;
  readonly detail: string;
  /** The member's error, if it sent one. */
  readonly error?: MemberError;
  /** Set if the member ran the statement and its answer was not kept. */
  readonly answer?: 'too-large';
  /** The applied log position that the member sent with its error. */
  readonly applied?: LogPosition | undefined;
}

/** The result of a job that succeeded. */
export interface JobAnswer {
  readonly answer: MemberAnswer;
  /** The time at which the statement was sent. */
  readonly sentAt: number;
}

/** The outcome of a job. */
export type JobResult = Result<JobAnswer, JobFault>;

/** The messages that a member connection handles. */
export type ConnectionMessage =
  | {
      readonly kind: 'run';
      readonly job: ConnectionJob;
      readonly reply: Reply<JobResult>;
    }
  | {readonly kind: 'close'};

/** The state of a connection; only a `clean` one returns to the pool. */
export type ConnectionState = 'new' | 'clean' | 'in-transaction' | 'closed';

/** Callbacks through which a connection reports on its member. */
export interface ConnectionEvents {
  readonly onSent: () => void;
  readonly onAnswered: (info: ResponseInfo) => void;
  readonly onFault: (fault: LinkFault) => void;
  /**
   * Called when a caller's statement is sent, with the time at which the member
   * is expected to begin it, and with the same time if it did not begin.
   */
  readonly onStatement: (state: 'begun' | 'not-begun', at: number) => void;
}

/** What a response shows about its member. */
export interface ResponseInfo {
  /** The time at which the request was sent. */
  readonly sentAt: number;
  readonly applied: LogPosition | undefined;
  /** Whether the request was a caller's statement or a setup command. */
  readonly work: 'statement' | 'setup';
  readonly outcome: 'done' | MemberErrorKind;
}

/**
 * Owns one connection to a member and tracks the values and prepared
 * statements that the connection holds.
 */
export class MemberConnection extends Task<ConnectionMessage> {
  private sessionState: ConnectionSessionState = EMPTY_SESSION_STATE;
  private recordedState: ConnectionState = 'new';
  /** The shortest time from a request to its response. */
  private shortestRoundTripMs = Infinity;

  constructor(
    readonly member: string,
    private readonly link: MemberLink,
    private readonly clock: Clock,
    private readonly events: ConnectionEvents,
    private readonly onFailed: (err: unknown) => void,
  ) {
    super();
  }

  /** The state, which is `closed` as soon as the link is unusable. */
  get state(): ConnectionState {
    return this.link.isUsable || this.recordedState === 'new'
      ? this.recordedState
      : 'closed';
  }

  /** The session values that are set on the connection. */
  get values(): SessionValues {
    return this.sessionState.values;
  }

  protected override handle(message: ConnectionMessage): void {
    if (message.kind === 'close') {
      this.close();
      return;
    }
    // Not awaited, so that a close is handled while the request runs.
    this.run(message.job).then(message.reply.answer, (err: unknown) => {
      this.onFailure(err);
      message.reply.answer(
        fail({failure: 'no-answer', detail: 'internal error'}),
      );
    });
  }

  protected override onFailure(err: unknown): void {
    this.onFailed(err);
    this.close();
  }

  private close(): void {
    this.recordedState = 'closed';
    this.link.close();
  }

  private async run(job: ConnectionJob): Promise<JobResult> {
    const {request, deadline} = job;
    // A transaction is one request, which begins with its first statement.
    const isFirst = this.recordedState !== 'in-transaction';
    const ready = await this.prepare(job);
    if (!ready.ok) return ready;
    const sentAt = this.clock();
    // Setup commands have a time limit of their own, as one that is cut short
    // says nothing about the member.
    if (sentAt >= deadline) return fail(DEADLINE_PASSED);
    const work = request.id === undefined ? 'setup' : 'statement';
    // Requests take the same time to the member as responses take back.
    const begunAt = sentAt + this.shortestRoundTripMs / 2;
    const isCounted =
      isFirst && work === 'statement' && request.id !== NO_STATEMENT_ID;
    if (isCounted) this.events.onStatement('begun', begunAt);
    const sent = await this.send(
      this.withStatementName(job, request),
      deadline - sentAt,
      work,
    );
    if (isCounted && !hasBegun(sent)) {
      this.events.onStatement('not-begun', begunAt);
    }
    if (!sent.ok) return fail(toJobFault(sent.err));
    const answer = sent.value;
    this.recordedState =
      answer.transaction === 'none' ? 'clean' : 'in-transaction';
    const {outcome} = answer;
    if (outcome.kind === 'done') return ok({answer, sentAt});
    // The recorded session state of the connection is wrong.
    if (outcome.error.kind === 'no-prepared-statement') this.close();
    return fail({
      failure: toAttemptFailure(outcome.error.kind),
      detail: `${outcome.error.code} ${outcome.error.text}`,
      error: outcome.error,
      applied: answer.applied,
    });
  }

  /** Opens the connection and sets up the state that the job requires. */
  private async prepare(job: ConnectionJob): Promise<Result<void, JobFault>> {
    if (this.recordedState === 'new') {
      const openedAt = this.clock();
      if (openedAt >= job.deadline) return fail(DEADLINE_PASSED);
      this.events.onSent();
      const opened = await this.link.open(
        Math.min(OPEN_TIMEOUT_MS, job.deadline - openedAt),
      );
      this.shortestRoundTripMs = this.clock() - openedAt;
      if (!opened.ok) {
        this.close();
        this.events.onFault(opened.err);
        return fail(toNotSentFault(opened.err));
      }
      this.events.onAnswered({
        sentAt: this.clock(),
        applied: undefined,
        work: 'setup',
        outcome: 'done',
      });
      if (this.state === 'closed') return fail(CONNECTION_CLOSED);
      this.recordedState = 'clean';
    }
    for (const step of planPreparation(
      this.sessionState,
      job.values,
      job.prepared,
    )) {
      const done = await this.runSetupCommand({command: step});
      if (!done.ok) return done;
      this.sessionState = applyPreparationStep(this.sessionState, step);
    }
    if (job.begin === undefined) return ok(undefined);
    const begun = await this.runSetupCommand({
      command: {kind: 'begin', access: job.begin},
      after: job.after,
    });
    if (begun.ok) this.recordedState = 'in-transaction';
    return begun;
  }

  private async runSetupCommand(
    request: MemberRequest,
  ): Promise<Result<void, JobFault>> {
    const sent = await this.send(request, SETUP_TIMEOUT_MS, 'setup');
    if (!sent.ok) return fail(toNotSentFault(sent.err));
    const {outcome, applied} = sent.value;
    if (outcome.kind === 'done') return ok(undefined);
    const failure = toAttemptFailure(outcome.error.kind);
    return fail({
      // The caller's statement was not sent, regardless of the error.
      failure:
        failure === 'failed' || failure === 'timed-out' ? 'refused' : failure,
      detail: `${request.command.kind}: ${outcome.error.code} ${outcome.error.text}`,
      error: outcome.error,
      applied,
    });
  }

  /** Runs a request; a fault closes the connection. */
  private async send(
    request: MemberRequest,
    timeoutMs: number,
    work: 'statement' | 'setup',
  ): Promise<Result<MemberAnswer, LinkFault>> {
    const sentAt = this.clock();
    this.events.onSent();
    const result = await this.link.run(request, Math.max(1, timeoutMs));
    if (result.ok) {
      const {applied, outcome} = result.value;
      this.shortestRoundTripMs = Math.min(
        this.shortestRoundTripMs,
        this.clock() - sentAt,
      );
      this.events.onAnswered({
        sentAt,
        applied,
        work,
        outcome: outcome.kind === 'done' ? 'done' : outcome.error.kind,
      });
    } else {
      this.close();
      this.events.onFault(result.err);
    }
    return result;
  }

  /**
   * Adds the required position, unless the `begin` carried it already, and the
   * name of the prepared statement on this connection.
   */
  private withStatementName(
    job: ConnectionJob,
    request: MemberRequest,
  ): MemberRequest {
    const after = job.begin === undefined ? job.after : undefined;
    if (request.command.kind !== 'execute' || !job.prepared) {
      return {...request, after};
    }
    const name = sharedStatementName(job.prepared);
    return {...request, after, command: {...request.command, name}};
  }
}

const CONNECTION_CLOSED: JobFault = {
  failure: 'not-sent',
  detail: 'connection closed',
};

const DEADLINE_PASSED: JobFault = {
  failure: 'not-sent',
  detail: 'the time limit passed before the statement was sent',
};

/** Converts a fault that occurred before the statement was sent. */
function toNotSentFault(fault: LinkFault): JobFault {
  const {failure, ...rest} = toJobFault(fault);
  return {...rest, failure: failure === 'wrong-member' ? failure : 'not-sent'};
}

function toJobFault(fault: LinkFault): JobFault {
  switch (fault.kind) {
    case 'not-sent':
      return {failure: 'not-sent', detail: fault.detail};
    case 'rejected':
      return {
        failure:
          fault.error.kind === 'wrong-member' ? 'wrong-member' : 'not-sent',
        detail: `${fault.error.code} ${fault.error.text}`,
        error: fault.error,
      };
    case 'broken':
      return {failure: 'no-answer', detail: fault.detail};
    // Another member's response would be as large.
    case 'too-large':
      return {failure: 'failed', detail: fault.detail, answer: 'too-large'};
    case 'silent':
      return {
        failure: 'no-answer',
        detail: `no answer within ${Math.round(fault.afterMs)} ms`,
      };
  }
}

/** Whether a member began to run a statement, or may have. */
function hasBegun(sent: Result<MemberAnswer, LinkFault>): boolean {
  if (!sent.ok) {
    return ['broken', 'silent', 'too-large'].includes(sent.err.kind);
  }
  const {outcome} = sent.value;
  if (outcome.kind === 'done') return true;
  switch (outcome.error.kind) {
    case 'failed':
    case 'timed-out':
    case 'other':
      return true;
    case 'busy':
    case 'behind':
    case 'not-primary':
    case 'wrong-member':
    case 'too-many-connections':
    case 'no-prepared-statement':
    case 'malformed':
      return false;
  }
}

function toAttemptFailure(kind: MemberErrorKind): AttemptFailure {
  switch (kind) {
    case 'busy':
    case 'too-many-connections':
    case 'no-prepared-statement':
      return 'refused';
    case 'behind':
      return 'behind';
    case 'not-primary':
      return 'not-primary';
    case 'wrong-member':
      return 'wrong-member';
    case 'timed-out':
      return 'timed-out';
    case 'failed':
    case 'malformed':
    case 'other':
      return 'failed';
  }
}
