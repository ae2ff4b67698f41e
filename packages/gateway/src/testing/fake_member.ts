import {fail, ok} from '@pistachiorill/core';
import type {LogPosition, MemberRole, Result} from '@pistachiorill/core';
import {MemberLink, MemberLinkFactory} from '../ports/member_link.js';
import type {
  LinkFault,
  MemberAnswer,
  MemberErrorKind,
  MemberRequest,
  MemberStatus,
  MemberTarget,
  TransactionState,
} from '../ports/member_link.js';

/**
 * How a fake member handles requests. `silent` accepts no connections and does
 * not respond on open ones; `loses-answers` accepts connections, but does not
 * respond to requests; `connection-limit` rejects connections with an error.
 */
export type MemberFaultMode =
  | 'answers'
  | 'silent'
  | 'refuses-connections'
  | 'connection-limit'
  | 'loses-answers';

/** An in-memory member that records the requests it receives. */
export class FakeMember {
  role: MemberRole = 'replica';
  term = 1;
  received: LogPosition = {term: 1, position: 10};
  applied: LogPosition = {term: 1, position: 10};
  mode: MemberFaultMode = 'answers';
  /** Errors with which the next requests of a command fail, once each. */
  readonly errors: Array<{readonly command: string; kind: MemberErrorKind}> =
    [];
  /** The received requests as text, in order. */
  readonly requests: string[] = [];

  constructor(readonly name: string) {}
}

function describe({id, command, after}: MemberRequest): string {
  const text = command.kind === 'statement' ? command.text : command.kind;
  const position = after ? ` after ${after.term}.${after.position}` : '';
  return `${id ?? '-'} ${text}${position}`;
}

class FakeLink extends MemberLink {
  private phase: 'new' | 'open' | 'closed' = 'new';
  private transaction: TransactionState = 'none';

  constructor(
    private readonly member: FakeMember,
    private readonly workspace: string,
  ) {
    super();
  }

  override get isUsable(): boolean {
    return this.phase === 'open';
  }

  override async open(): Promise<Result<void, LinkFault>> {
    const {mode} = this.member;
    if (mode === 'silent' || mode === 'refuses-connections') {
      this.phase = 'closed';
      return fail({kind: 'not-sent', detail: 'no connection'});
    }
    if (mode === 'connection-limit') {
      this.phase = 'closed';
      const error = {
        kind: 'too-many-connections',
        code: 'FULL',
        text: '',
      } as const;
      return fail({kind: 'rejected', error});
    }
    this.phase = 'open';
    this.member.requests.push(`open ${this.workspace}`);
    return ok(undefined);
  }

  override async run(
    request: MemberRequest,
    timeoutMs: number,
  ): Promise<Result<MemberAnswer, LinkFault>> {
    const {member} = this;
    if (this.phase !== 'open') {
      return fail({kind: 'not-sent', detail: 'closed'});
    }
    member.requests.push(describe(request));
    if (member.mode === 'silent' || member.mode === 'loses-answers') {
      await new Promise(resolve =>
        setTimeout(resolve, Math.min(20, timeoutMs)),
      );
      this.phase = 'closed';
      return fail({kind: 'silent', afterMs: timeoutMs});
    }
    return ok(this.answer(request));
  }

  override close(): void {
    this.phase = 'closed';
  }

  override parseStatus(): MemberStatus | undefined {
    const {role, term, received, applied} = this.member;
    return {role, term, received, applied};
  }

  private answer({command}: MemberRequest): MemberAnswer {
    const {member} = this;
    const index = member.errors.findIndex(
      item => item.command === command.kind,
    );
    const [error] = index < 0 ? [] : member.errors.splice(index, 1);
    if (command.kind === 'begin') this.transaction = 'open';
    if (command.kind === 'commit' || command.kind === 'rollback') {
      this.transaction = 'none';
    }
    return {
      rows: [],
      outcome: error
        ? {
            kind: 'error',
            error: {kind: error.kind, code: error.kind, text: member.name},
          }
        : {kind: 'done', signature: `signed by ${member.name}`},
      transaction: this.transaction,
      applied: member.applied,
    };
  }
}

/** Creates connections to fake members by name. */
export class FakeLinkFactory extends MemberLinkFactory {
  readonly members = new Map<string, FakeMember>();

  /** Adds a member that can be connected to. */
  add(name: string): FakeMember {
    const member = new FakeMember(name);
    this.members.set(name, member);
    return member;
  }

  override create(target: MemberTarget, workspace: string): MemberLink {
    const member = this.members.get(target.member) ?? new FakeMember('nobody');
    return new FakeLink(member, workspace);
  }
}
