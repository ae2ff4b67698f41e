import {createServer} from 'node:net';
import {Lines, splitWord} from './line.mjs';
import {listen} from './vm.mjs';

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const QUEUE = 16;

function positionOf(log, end) {
  const last = log[end - 1];
  return last ? `${last.term}.${last.number}` : '0.0';
}

/** One member of a service: its log, role and connections. */
export class Member {
  constructor(group, id, zone) {
    this.group = group;
    this.id = id;
    this.zone = zone;
    this.role = 'replica';
    this.term = 1;
    this.log = [];
    this.applied = 0;
    this.data = new Map();
    this.state = 'ready';
    this.power = 'on';
    this.seq = 0;
    this.born = Date.now();
    this.busy = 0;
    this.waiting = [];
    this.sockets = new Set();
    this.connections = 0;
    /** Whether it receives from the primary. */
    this.hears = true;
    this.workMs = 4;
    this.slots = group.slots;
  }

  async listen() {
    this.server = createServer({noDelay: true}, socket => {
      if (this.power === 'off') {
        socket.resetAndDestroy();
        return;
      }
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      new Session(this, socket);
    });
    this.address = await listen(this.server);
  }

  get received() {
    return this.log.length;
  }

  /** Ends the process: connections are reset. */
  crash() {
    this.power = 'off';
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Comes back with its log, as a replica if another one was promoted. */
  recover() {
    this.power = 'on';
    if (this.group.leader !== this && this.group.leader) {
      this.role = 'replica';
    }
    this.group.replicate();
  }

  /**
   * Starts again under its id, `downMs` after its process ended. It holds and
   * knows nothing of before, so it leads nobody.
   */
  async startAgain(downMs) {
    const {group} = this;
    this.crash();
    if (group.leader === this) group.leader = undefined;
    await sleep(downMs);
    this.role = 'replica';
    this.term = 0;
    this.log = [];
    this.applied = 0;
    this.data.clear();
    this.seq = 0;
    this.born = Date.now();
    this.power = 'on';
    group.replicate();
  }

  /** Takes the entries of the primary's log; drops those that it lacks. */
  follow(leader) {
    const {log} = leader;
    let same = Math.min(this.log.length, log.length);
    while (same > 0 && this.log[same - 1] !== log[same - 1]) same--;
    if (same < this.log.length) {
      this.log.length = same;
      if (this.applied > same) {
        this.applied = 0;
        this.data.clear();
        this.apply(same);
      }
    }
    for (const entry of log.slice(same)) this.log.push(entry);
    this.term = leader.term;
    this.role = 'replica';
    const end = this.log.length;
    setTimeout(
      () => this.apply(Math.min(end, this.log.length)),
      this.group.lagMs,
    );
  }

  apply(end) {
    for (; this.applied < end; this.applied++) {
      for (const {item, data} of this.log[this.applied].writes) {
        this.data.set(item, data);
      }
    }
  }

  /** Whether the applied log holds a position. */
  holds(position) {
    const [term, number] = position.split('.').map(Number);
    if (number === 0) return true;
    for (let i = this.applied - 1; i >= 0; i--) {
      const entry = this.log[i];
      if (entry.term === term && entry.number === number) return true;
      if (entry.number < number) return false;
    }
    return false;
  }

  /** Commits writes as the next number; the entry or undefined. */
  commit(writes, origin) {
    const number = (this.log.at(-1)?.number ?? 0) + 1;
    const previous = this.log.at(-1);
    const entry = {
      term: this.term,
      number,
      writes,
      member: this.id,
      previous,
      ...origin,
    };
    this.log.push(entry);
    this.apply(this.log.length);
    this.group.commits.push(entry);
    this.group.replicate();
    return entry;
  }

  async slot() {
    if (this.busy < this.slots) {
      this.busy++;
      return true;
    }
    if (this.waiting.length >= QUEUE) return false;
    return new Promise(resolve => this.waiting.push(resolve));
  }

  release() {
    const next = this.waiting.shift();
    if (next) next(true);
    else this.busy--;
  }

  /** What it says of itself in the store. */
  entry(address = this.address) {
    return {
      service: this.group.name,
      address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      warmupLeftMs: 0,
      seq: ++this.seq,
      born: this.born,
      dbRole: this.role,
    };
  }
}

/** A service of one primary and its replicas. */
export class Group {
  constructor(
    name,
    {
      clock,
      slots = 2,
      maxConns = 26,
      lagMs = 20,
      promoteMs = 300,
      netMs = 1,
      syncReplicas = 0,
    },
  ) {
    this.name = name;
    this.clock = clock;
    this.slots = slots;
    this.maxConns = maxConns;
    this.lagMs = lagMs;
    this.promoteMs = promoteMs;
    this.netMs = netMs;
    this.syncReplicas = syncReplicas;
    this.members = [];
    this.commits = [];
    /** What members ran, in order. */
    this.runs = [];
    this.ran = 0;
    /** Whether the runs are kept. */
    this.keepsRuns = true;
    this.promotions = [];
    this.term = 1;
    this.txn = 0;
    this.conns = 0;
  }

  async add(id, zone) {
    const member = new Member(this, id, zone);
    await member.listen();
    this.members.push(member);
    if (!this.leader) {
      this.leader = member;
      member.role = 'primary';
    } else {
      member.follow(this.leader);
    }
    return member;
  }

  member(id) {
    return this.members.find(item => item.id === id);
  }

  replicate() {
    const {leader} = this;
    if (!leader || leader.power === 'off') return;
    for (const member of this.members) {
      if (member === leader || !member.hears || member.power === 'off')
        continue;
      if (member.role === 'primary') continue;
      setTimeout(() => {
        if (this.leader !== leader || member.role === 'primary') return;
        if (leader.power === 'off' || member.power === 'off') return;
        if (!member.hears) return;
        member.follow(leader);
      }, this.netMs);
    }
  }

  /** Waits until as many replicas as must have received a commit have. */
  async received(entry, isGone) {
    const count = () =>
      this.members.filter(
        item =>
          item.id !== entry.member && item.log[entry.number - 1] === entry,
      ).length;
    while (count() < this.syncReplicas && !isGone()) await sleep(1);
  }

  /** The promotion of a member takes effect some time after the order. */
  order(id) {
    const member = this.member(id);
    if (!member || member.power === 'off') return 409;
    if (member === this.leader) return 200;
    setTimeout(() => this.promote(member), this.promoteMs);
    return 200;
  }

  promote(member) {
    if (member.power === 'off' || member === this.leader) return;
    const former = this.leader;
    this.leader = member;
    this.term++;
    member.role = 'primary';
    member.term = this.term;
    member.apply(member.log.length);
    this.promotions.push({
      member: member.id,
      term: this.term,
      at: this.clock(),
      log: new Set(member.log),
    });
    this.replicate();
    // The old one goes on until a second after it can reach the new one.
    setTimeout(() => {
      if (this.leader === member && former?.power === 'on')
        former.follow(member);
    }, 1_000);
  }
}

/** A connection to a member. */
class Session {
  constructor(member, socket) {
    this.member = member;
    this.socket = socket;
    this.lines = new Lines();
    this.queue = Promise.resolve();
    this.values = new Map();
    this.prepared = new Map();
    this.tx = undefined;
    this.open = false;
    this.number = ++member.group.conns;
    member.connections++;
    socket.on('error', () => undefined);
    socket.on('close', () => {
      member.connections--;
      this.tx = undefined;
    });
    socket.on('data', chunk => {
      for (const line of this.lines.push(chunk)) {
        this.queue = this.queue.then(() => this.line(line));
      }
    });
  }

  async line(line) {
    if (this.socket.destroyed || this.member.power === 'off') return;
    const [word, rest] = splitWord(line);
    if (word === 'STARTUP') await this.startUp(rest);
    else if (word === 'TERMINATE') this.socket.end();
    else if (word === 'QUERY' && this.open) await this.query(rest);
    else this.socket.destroy();
  }

  async startUp(rest) {
    const {member} = this;
    const [service, tenant, id] = rest.split(' ');
    this.tenant = tenant;
    if (service !== member.group.name || (id && id !== member.id)) {
      this.socket.end(`ERROR MISROUTED ${member.id}\r\n`);
      return;
    }
    if (member.connections > member.group.maxConns) {
      this.socket.end(`ERROR TOOMANY ${member.id}\r\n`);
      return;
    }
    this.open = true;
    this.ready();
  }

  ready(lines = []) {
    const {member, socket} = this;
    if (socket.destroyed || member.power === 'off') return;
    const state = !this.tx ? 'I' : this.tx.failed ? 'E' : 'T';
    const position = positionOf(member.log, member.applied);
    const text = [...lines, `READY ${state} ${position}`]
      .map(item => `${item}\r\n`)
      .join('');
    const fate = member.onAnswer?.(this, lines);
    if (fate === 'lost') return;
    if (fate === 'reset') {
      socket.resetAndDestroy();
      return;
    }
    if (fate === 'cut') {
      socket.write(text.slice(0, Math.floor(text.length / 2)), 'latin1');
      setTimeout(() => socket.resetAndDestroy(), 5);
      return;
    }
    socket.write(text, 'latin1');
  }

  async query(rest) {
    const {member} = this;
    let [id, text] = splitWord(rest);
    let after;
    let shape;
    if (text.startsWith('AFTER ')) {
      [after, text] = splitWord(splitWord(text)[1]);
    }
    const [verb, args] = splitWord(text);
    if (verb === 'EXECUTE') {
      const [name, parameters] = splitWord(args);
      const found = this.prepared.get(name);
      if (!found) return this.ready([`ERROR NOSTMT ${name}`]);
      text = `${found.access} ${parameters}`;
      shape = found.shape;
    }
    const [kind, tail] = splitWord(text);
    if (after && !member.holds(after)) {
      if (this.tx) this.tx.failed = true;
      return this.ready([`ERROR LAGGING ${member.id}`]);
    }
    switch (kind) {
      case 'BEGIN':
        return this.begin(tail === 'READ' ? 'read' : 'write');
      case 'ROLLBACK':
        this.tx = undefined;
        return this.ready(['COMPLETE -']);
      case 'SET': {
        const [name, value] = splitWord(tail);
        this.values.set(name, value);
        return this.ready(['COMPLETE -']);
      }
      case 'PREPARE': {
        const [name, what] = splitWord(tail);
        const [access, text] = splitWord(what);
        this.prepared.set(name, {access, shape: text});
        return this.ready(['COMPLETE -']);
      }
      case 'DEALLOCATE':
        this.prepared.delete(tail);
        return this.ready(['COMPLETE -']);
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return this.ready(['COMPLETE -']);
      case 'STATUS':
        return this.status();
      case 'STEPDOWN':
        if (member.role === 'primary' && member.term < Number(tail)) {
          member.role = 'replica';
          member.group.replicate();
        }
        return this.status();
      case 'READ':
      case 'WRITE':
      case 'COMMIT':
        return this.work(id, kind, tail, shape);
      default:
        return this.ready(['ERROR MALFORMED']);
    }
  }

  status() {
    const {member} = this;
    const received = positionOf(member.log, member.log.length);
    const {role, term, busy, connections} = member;
    this.ready([
      `DATAROW ${role} ${term} ${received} ${term} 0 ${busy} ${connections}`,
      'COMPLETE -',
    ]);
  }

  begin(access) {
    const {member} = this;
    if (access === 'write' && member.role !== 'primary') {
      return this.ready([`ERROR READONLY ${member.id}`]);
    }
    const txn = ++member.group.txn;
    this.tx = {access, term: member.term, writes: [], ids: [], txn};
    this.ready(['COMPLETE -']);
  }

  async work(id, kind, tail, shape) {
    const {member} = this;
    const {group} = member;
    if (!(await member.slot())) return this.ready([`ERROR BUSY ${member.id}`]);
    const isGone = () => this.socket.destroyed || member.power === 'off';
    let answer;
    try {
      await sleep(member.workMs);
      if (isGone()) return;
      answer = this.run(id, kind, tail, group, shape);
    } finally {
      member.release();
    }
    if (answer.entry) await group.received(answer.entry, isGone);
    this.ready(answer.lines);
  }

  run(id, kind, tail, group, shape) {
    const {member, tx} = this;
    const isLost =
      tx?.access === 'write' &&
      (member.role !== 'primary' || member.term !== tx.term);
    if (kind === 'COMMIT') {
      if (!tx || tx.failed) return {lines: ['ERROR MALFORMED']};
      this.tx = undefined;
      if (tx.writes.length > 0 && isLost) {
        return {lines: [`ERROR READONLY ${member.id}`]};
      }
    } else if (isLost || (kind === 'WRITE' && member.role !== 'primary')) {
      if (tx) tx.failed = true;
      return {lines: [`ERROR READONLY ${member.id}`]};
    }
    const [item, data] = splitWord(tail);
    const run = {
      id,
      kind,
      item,
      member: member.id,
      role: member.role,
      term: member.term,
      conn: this.number,
      tenant: this.tenant,
      txn: tx?.txn,
      shape,
      values: [...this.values]
        .map(pair => pair.join('='))
        .sort()
        .join(' '),
      at: group.clock(),
      applied: member.applied,
      last: member.log[member.applied - 1],
      log: member.log,
    };
    if (group.keepsRuns) group.runs.push(run);
    const signature = `${member.id}.${++group.ran}`;
    run.signature = signature;
    if (kind === 'READ') {
      const value = member.data.get(item) ?? 'none';
      return {lines: [`DATAROW ${value}`, `COMPLETE ${signature}`]};
    }
    const write = {item, data, id};
    if (kind === 'WRITE' && tx) {
      tx.writes.push(write);
    } else {
      const writes = kind === 'COMMIT' ? tx.writes : [write];
      if (writes.length > 0) {
        run.entry = member.commit(writes, {
          id,
          txn: tx?.txn,
          at: group.clock(),
        });
      }
    }
    return {lines: [`COMPLETE ${signature}`], entry: run.entry};
  }
}
