import type {LogPosition} from '../../session/log_position.js';
import type {MemberState} from '../../routing/member_state.js';
import type {AttemptAction, CallOutcome} from '../attempt.js';

/** A log entry; `id` 0 marks the entry that a promotion adds. */
interface Entry extends LogPosition {
  readonly id: number;
}

type Call = Extract<AttemptAction, {backendServer: string}>;

/**
 * A member of a group that implements the rules of fencing, promotion and
 * replication, without a network or data.
 */
export class FakeMember {
  log: Entry[] = [];
  term = 0;
  role: MemberState['role'] = 'replica';
  private fencedTerm = 0;
  private fencedOwner = '';

  constructor(readonly name: string) {}

  state(): MemberState {
    const {role, term, fencedTerm, fencedOwner, received} = this;
    const applied = received;
    const limits = {connections: 0, connectionLimit: 9, slots: 2};
    return {role, term, received, applied, fencedTerm, fencedOwner, ...limits};
  }

  /** The end of the log. */
  get received(): LogPosition {
    const {term, position} = this.log.at(-1) ?? {term: 0, position: 0};
    return {term, position};
  }

  /** Whether the member is primary and not fenced at a higher term. */
  get writable(): boolean {
    return this.role === 'primary' && this.fencedTerm <= this.term;
  }

  append(id: number): Entry {
    const entry = {term: this.term, position: this.log.length + 1, id};
    this.log.push(entry);
    return entry;
  }

  call(action: Call): CallOutcome {
    return this.accepts(action)
      ? {kind: 'done', received: this.received}
      : {kind: 'refused'};
  }

  /** Copies the log of the primary of the same term. */
  replicate(primary: FakeMember): void {
    const follows =
      this.role === 'replica' &&
      this.fencedTerm <= this.term &&
      primary.role === 'primary' &&
      primary.term === this.term;
    if (follows) this.log = [...primary.log];
  }

  private accepts(action: Call): boolean {
    const {term} = action;
    if (action.kind === 'follow') {
      const isPrimary = this.role === 'primary' && this.term === term;
      if (term < this.fencedTerm || isPrimary) return false;
      if (term > this.fencedTerm) this.fencedOwner = '';
      this.fencedTerm = term;
      this.role = 'replica';
      this.term = term;
      return true;
    }
    const isOwn = term === this.fencedTerm && action.owner === this.fencedOwner;
    if (action.kind === 'fence') {
      if (term <= this.fencedTerm && !isOwn) return false;
      this.fencedTerm = term;
      this.fencedOwner = action.owner;
      return true;
    }
    if (!isOwn) return false;
    if (this.term === term) return this.role === 'primary';
    this.role = 'primary';
    this.term = term;
    this.append(0);
    return true;
  }
}
