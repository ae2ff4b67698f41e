import {fail, ok} from '@pistachiorill/core';
import type {LogPosition, Result} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {MemberLink, MemberLinkFactory} from '../ports/member_link.js';
import type {
  LinkFault,
  MemberAnswer,
  MemberError,
  MemberRequest,
  MemberTarget,
  TransactionState,
} from '../ports/member_link.js';

/** The time for which opening a connection takes a slot. */
const OPEN_WORK_MS = 12;
const QUEUED_PER_SLOT = 8;

/** A member with a limited number of slots and connections. */
export class LoadedMember {
  opened = 0;
  reset = 0;
  rejected = 0;
  connections = 0;
  position = 1;
  private running = 0;
  private readonly queue: Array<() => void> = [];

  constructor(
    readonly dataCentre: string,
    private readonly slots: number,
    readonly connectionLimit: number,
  ) {}

  get applied(): LogPosition {
    return {term: 1, position: this.position};
  }

  /** Takes a slot for some time; a statement is rejected by a full queue. */
  async work(ms: number, kind: 'open' | 'statement'): Promise<'done' | 'busy'> {
    if (this.running < this.slots) {
      this.running++;
    } else {
      const isFull = this.queue.length >= this.slots * QUEUED_PER_SLOT;
      if (kind === 'statement' && isFull) {
        this.rejected++;
        return 'busy';
      }
      await new Promise<void>(resolve => this.queue.push(resolve));
    }
    await sleep(ms);
    const next = this.queue.shift();
    if (next) next();
    else this.running--;
    return 'done';
  }
}

class LoadedLink extends MemberLink {
  private phase: 'new' | 'open' | 'closed' = 'new';
  private transaction: TransactionState = 'none';

  constructor(
    private readonly member: LoadedMember,
    private readonly delayMs: number,
  ) {
    super();
  }

  override get isUsable(): boolean {
    return this.phase === 'open';
  }

  override async open(): Promise<Result<void, LinkFault>> {
    const {member} = this;
    await sleep(this.delayMs);
    if (member.connections >= member.connectionLimit) {
      member.reset++;
      this.phase = 'closed';
      const error = memberError('too-many-connections');
      return fail({kind: 'rejected', error});
    }
    member.opened++;
    member.connections++;
    this.phase = 'open';
    await member.work(OPEN_WORK_MS, 'open');
    await sleep(this.delayMs);
    return ok(undefined);
  }

  /** The text of a statement is its work in milliseconds. */
  override async run({
    command,
  }: MemberRequest): Promise<Result<MemberAnswer, LinkFault>> {
    const {member} = this;
    if (this.phase !== 'open') {
      return fail({kind: 'not-sent', detail: 'closed'});
    }
    await sleep(this.delayMs);
    let done: 'done' | 'busy' = 'done';
    if (command.kind === 'statement') {
      const [access, workMs] = command.text.split(' ');
      done = await member.work(Number(workMs), 'statement');
      if (access === 'WRITE') member.position++;
    }
    if (command.kind === 'begin') this.transaction = 'open';
    if (['commit', 'rollback'].includes(command.kind)) {
      this.transaction = 'none';
    }
    await sleep(this.delayMs);
    return ok({
      rows: [],
      outcome:
        done === 'done'
          ? {kind: 'done', signature: ''}
          : {kind: 'error', error: memberError('busy')},
      transaction: this.transaction,
      applied: member.applied,
    });
  }

  override close(): void {
    if (this.phase === 'open') this.member.connections--;
    this.phase = 'closed';
  }

  override parseStatus(): undefined {
    return undefined;
  }
}

function memberError(kind: 'too-many-connections' | 'busy'): MemberError {
  return {kind, code: kind, text: ''};
}

/** Connects a VM of a data centre to loaded members. */
export class LoadedLinkFactory extends MemberLinkFactory {
  constructor(
    private readonly members: ReadonlyMap<string, LoadedMember>,
    private readonly delayMs: (dataCentre: string) => number,
  ) {
    super();
  }

  override create({member: name}: MemberTarget): MemberLink {
    const member = this.members.get(name);
    if (!member) throw new Error(`member ${name} does not exist`);
    return new LoadedLink(member, this.delayMs(member.dataCentre));
  }
}
