import {
  EMPTY_CONTENTS,
  afterPreparation,
  fail,
  ok,
  planPreparation,
  sharedStatementName,
} from '@pistachiorill/core';
import type {
  AttemptFailure,
  ConnectionContents,
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

/** How long a member may take to accept a connection. */
const OPEN_TIMEOUT_MS = 400;
/** How long a command takes that needs no slot of the member. */
const SETUP_TIMEOUT_MS = 400;

/** A statement with what the connection must hold when it runs. */
export interface ConnectionJob {
  readonly values: SessionValues;
  readonly prepared?: PreparedStatement | undefined;
  /** Begins a transaction before the statement. */
  readonly begin?: 'read' | 'write' | undefined;
  readonly after?: LogPosition | undefined;
  readonly request: MemberRequest;
  /** When the statement's time is over. */
  readonly deadline: number;
}

/** A job without a result. */
export interface JobFault {
  readonly failure: AttemptFailure;
  readonly detail: string;
  /** The member's error, if it sent one. */
  readonly error?: MemberError;
  /** The end of the log that the member reported with its error. */
  readonly applied?: LogPosition | undefined;
}

export interface JobAnswer {
  readonly answer: MemberAnswer;
  /** When the statement was sent. */
  readonly askedAt: number;
}

export type JobResult = Result<JobAnswer, JobFault>;

export type ConnectionMessage =
  | {
      readonly kind: 'run';
      readonly job: ConnectionJob;
      readonly reply: Reply<JobResult>;
    }
  | {readonly kind: 'close'};

/** Whether another statement can use a connection. */
export type ConnectionState = 'new' | 'clean' | 'in-transaction' | 'closed';

/** What a connection reports of its member while it works. */
export interface ConnectionEvents {
  readonly onSent: () => void;
  readonly onAnswered: (heard: HeardAnswer) => void;
  readonly onFault: (fault: LinkFault) => void;
}

export interface HeardAnswer {
  readonly askedAt: number;
  readonly applied: LogPosition | undefined;
  /** Whether the answer was to a statement that did work. */
  readonly work: 'statement' | 'setup';
}

/** Owns one connection to a member and what the connection holds. */
export class MemberConnection extends Task<ConnectionMessage> {
  private contents: ConnectionContents = EMPTY_CONTENTS;
  private current: ConnectionState = 'new';

  constructor(
    readonly member: string,
    private readonly link: MemberLink,
    private readonly clock: Clock,
    private readonly events: ConnectionEvents,
    private readonly onFailed: (err: unknown) => void,
  ) {
    super();
  }

  get state(): ConnectionState {
    return this.link.isUsable || this.current === 'new'
      ? this.current
      : 'closed';
  }

  get values(): SessionValues {
    return this.contents.values;
  }

  protected override handle(message: ConnectionMessage): void {
    if (message.kind === 'close') {
      this.close();
      return;
    }
    // Not awaited, so that a close is handled while the member works.
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
    this.current = 'closed';
    this.link.close();
  }

  private async run(job: ConnectionJob): Promise<JobResult> {
    const ready = await this.prepare(job);
    if (!ready.ok) return ready;
    const {request, deadline} = job;
    const askedAt = this.clock();
    const sent = await this.send(
      this.withStatementName(job, request),
      deadline - askedAt,
      'statement',
    );
    if (!sent.ok) return fail(toJobFault(sent.err));
    const answer = sent.value;
    this.current = answer.transaction === 'none' ? 'clean' : 'in-transaction';
    const {outcome} = answer;
    if (outcome.kind === 'done') return ok({answer, askedAt});
    // What the connection was thought to hold is wrong.
    if (outcome.error.kind === 'no-prepared-statement') this.close();
    return fail({
      failure: failureOf(outcome.error.kind),
      detail: `${outcome.error.code} ${outcome.error.text}`,
      error: outcome.error,
      applied: answer.applied,
    });
  }

  /** Opens the connection and sets up what the statement needs. */
  private async prepare(job: ConnectionJob): Promise<Result<void, JobFault>> {
    if (this.current === 'new') {
      this.events.onSent();
      const opened = await this.link.open(
        Math.min(OPEN_TIMEOUT_MS, job.deadline - this.clock()),
      );
      if (!opened.ok) {
        this.close();
        this.events.onFault(opened.err);
        return fail(notSent(opened.err));
      }
      this.events.onAnswered({
        askedAt: this.clock(),
        applied: undefined,
        work: 'setup',
      });
      if (this.state === 'closed') return fail(CLOSED);
      this.current = 'clean';
    }
    for (const step of planPreparation(
      this.contents,
      job.values,
      job.prepared,
    )) {
      const done = await this.setUp({command: step});
      if (!done.ok) return done;
      this.contents = afterPreparation(this.contents, step);
    }
    if (job.begin === undefined) return ok(undefined);
    const begun = await this.setUp({
      command: {kind: 'begin', access: job.begin},
      after: job.after,
    });
    if (begun.ok) this.current = 'in-transaction';
    return begun;
  }

  private async setUp(request: MemberRequest): Promise<Result<void, JobFault>> {
    const sent = await this.send(request, SETUP_TIMEOUT_MS, 'setup');
    if (!sent.ok) return fail(notSent(sent.err));
    const {outcome, applied} = sent.value;
    if (outcome.kind === 'done') return ok(undefined);
    const failure = failureOf(outcome.error.kind);
    return fail({
      // The caller's statement was not sent, whatever the error says.
      failure:
        failure === 'failed' || failure === 'timed-out' ? 'refused' : failure,
      detail: `${request.command.kind}: ${outcome.error.code} ${outcome.error.text}`,
      error: outcome.error,
      applied,
    });
  }

  private async send(
    request: MemberRequest,
    timeoutMs: number,
    work: 'statement' | 'setup',
  ): Promise<Result<MemberAnswer, LinkFault>> {
    const askedAt = this.clock();
    this.events.onSent();
    const result = await this.link.run(request, Math.max(1, timeoutMs));
    if (result.ok) {
      const {applied} = result.value;
      this.events.onAnswered({askedAt, applied, work});
    } else {
      this.close();
      this.events.onFault(result.err);
    }
    return result;
  }

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

const CLOSED: JobFault = {failure: 'not-sent', detail: 'connection closed'};

function notSent(fault: LinkFault): JobFault {
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
    case 'silent':
      return {
        failure: 'no-answer',
        detail: `no answer within ${Math.round(fault.afterMs)} ms`,
      };
  }
}

function failureOf(kind: MemberErrorKind): AttemptFailure {
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
