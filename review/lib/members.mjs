import {createServer} from 'node:net';
import {listen, sleep} from './util.mjs';

const TICK_MS = 5;
/** A primary follows a newer one that it has reached for this long. */
const FOLLOW_MS = 1_000;
/** A connection whose far end is dark is dropped after this time. */
const DARK_CONNECTION_MS = 3_000;
const STATUS_MS = 1;
const MAX_QUEUED = 16;

/** A database group: its members, their logs and the promotions. */
export class Group {
  members = [];
  commits = [];
  promotions = [];
  reads = [];
  /** Each statement of a client that ran, with the tenant it ran for. */
  runs = [];
  #term = 1;

  constructor(name, network, clock, options) {
    this.name = name;
    this.network = network;
    this.clock = clock;
    this.options = options;
    setInterval(() => this.#tick(), TICK_MS).unref();
  }

  add(member) {
    this.members.push(member);
    this.network.addMachine(member.id, member.zone);
  }

  member(id) {
    return this.members.find(item => item.id === id);
  }

  /** Handles `POST /failover`; returns the HTTP status. */
  promote(id, order) {
    const member = this.member(id);
    if (!member || member.state !== 'up') return 409;
    if (member.role === 'primary' && member.term === this.#term) return 200;
    setTimeout(() => {
      if (member.state !== 'up') return;
      this.#term++;
      member.role = 'primary';
      member.term = this.#term;
      member.applied = member.log.length;
      for (const commit of this.commits) {
        if (member.log[commit.number - 1] !== commit)
          commit.isRolledBack = true;
      }
      this.promotions.push({
        ...order,
        member: id,
        term: this.#term,
        at: this.clock(),
      });
      member.report();
    }, this.options.promoteMs);
    return 200;
  }

  /** The member that was promoted last, or the first primary. */
  get latestPrimary() {
    return this.members.find(
      item => item.role === 'primary' && item.term === this.#term,
    );
  }

  /** A member that comes back follows if another one was promoted. */
  resume(member) {
    if (member.role === 'primary' && member.term < this.#term) {
      member.role = 'replica';
    }
  }

  #tick() {
    const now = this.clock();
    for (const member of this.members) {
      if (member.state !== 'up') continue;
      const leader = this.#leaderOf(member);
      if (!leader) {
        member.newerSince = undefined;
      } else if (member.role === 'primary') {
        member.newerSince ??= now;
        if (now - member.newerSince < FOLLOW_MS) continue;
        member.role = 'replica';
        member.report();
      } else {
        member.follow(leader, now);
      }
    }
  }

  /** The primary with the highest term that a member reaches, if it is newer. */
  #leaderOf(member) {
    const isNewer = item =>
      member.role === 'primary'
        ? item.term > member.term
        : item.term >= member.term;
    return this.members
      .filter(item => item !== member && item.role === 'primary')
      .filter(item => item.state === 'up' && isNewer(item))
      .filter(item => this.network.reaches(item.id, member.id))
      .sort((a, b) => b.term - a.term)[0];
  }
}

/** A member of a group. It listens on an address of its own for each VM. */
export class Member {
  role = 'replica';
  term = 1;
  state = 'up';
  /** All commits that the member has received. */
  log = [];
  /** How many of them reads can see. */
  applied = 0;
  newerSince;
  #busy = 0;
  #queue = [];
  #sessions = new Set();
  #arrivals = [];

  constructor(group, id, zone, store) {
    this.group = group;
    this.id = id;
    this.zone = zone;
    this.store = store;
    this.bornMs = Date.now();
    this.seq = 0;
    this.isListed = false;
    group.add(this);
  }

  /** Starts to listen for one VM; returns the address. */
  serve(vm) {
    const {network} = this.group;
    const server = createServer({allowHalfOpen: true}, socket => {
      if (this.state === 'crashed') {
        socket.resetAndDestroy();
        return;
      }
      const session = new Session(this, vm, socket, network);
      this.#sessions.add(session);
      session.onEnd = () => this.#sessions.delete(session);
    });
    return listen(server);
  }

  get connections() {
    return this.#sessions.size;
  }

  /** Writes the member's entry to the store, if it is reached. */
  report() {
    if (this.state !== 'up') return;
    if (!this.group.network.reaches(this.id, 'store')) return;
    this.reportedAt = this.group.clock();
    this.isListed = true;
    const entry = {
      service: this.group.name,
      address: '',
      zone: this.zone,
      version: 'v1',
      slots: this.group.options.slots,
      state: 'ready',
      warmupLeftMs: 0,
      seq: ++this.seq,
      born: this.bornMs,
      dbRole: this.role,
    };
    this.store.write('servers', this.id, JSON.stringify(entry));
  }

  /** Stops: `dark` does not answer, `crashed` resets its connections. */
  fail(how) {
    this.state = how;
    if (how !== 'crashed') return;
    for (const session of [...this.#sessions]) session.reset();
  }

  /** Comes back with the log, without the old connections. */
  recover() {
    for (const session of [...this.#sessions]) session.reset();
    this.#queue = [];
    this.#busy = 0;
    this.state = 'up';
    this.group.resume(this);
    this.report();
  }

  /** Receives what the primary has; rolls back what it has not. */
  follow(leader, now) {
    this.term = leader.term;
    const {log} = leader;
    let same = Math.min(this.log.length, log.length);
    while (same > 0 && this.log[same - 1] !== log[same - 1]) same--;
    if (same < this.log.length) {
      this.log.length = same;
      this.applied = Math.min(this.applied, same);
      this.#arrivals = [];
    }
    for (const commit of log.slice(same)) {
      this.log.push(commit);
      this.#arrivals.push({
        number: commit.number,
        at: now + this.group.options.lagMs,
      });
    }
    while (this.#arrivals.length > 0 && this.#arrivals[0].at <= now) {
      this.applied = Math.max(this.applied, this.#arrivals.shift().number);
    }
  }

  /** Commits writes on the primary; returns the last commit. */
  commit(request, writes) {
    for (const {item, data} of writes) {
      const commit = {
        request,
        item,
        data,
        member: this.id,
        term: this.term,
        number: this.log.length + 1,
        at: this.group.clock(),
        isRolledBack: false,
      };
      this.log.push(commit);
      this.group.commits.push(commit);
    }
    this.applied = this.log.length;
  }

  /** Runs work in a slot, after a wait in the queue; false if it is full. */
  async work(ms) {
    if (this.#busy >= this.group.options.slots) {
      if (this.#queue.length >= MAX_QUEUED) return false;
      const granted = await new Promise(resolve => this.#queue.push(resolve));
      if (!granted) return false;
    } else {
      this.#busy++;
    }
    await sleep(ms);
    const next = this.#queue.shift();
    if (next) next(true);
    else this.#busy = Math.max(0, this.#busy - 1);
    return true;
  }

  get hasFreeSlot() {
    return this.#busy < this.group.options.slots;
  }

  positionOf(count) {
    const last = this.log[count - 1];
    return last ? `${last.term}.${last.number}` : '1.0';
  }

  /** Whether the applied log contains a position. */
  holds(term, number) {
    if (number === 0) return true;
    return number <= this.applied && this.log[number - 1].term === term;
  }
}

/** A member's side of one connection. */
class Session {
  onEnd = () => undefined;
  #input = '';
  #output = [];
  #lines = Promise.resolve();
  #isOpen = false;
  #isEnded = false;
  #values = new Map();
  #prepared = new Map();
  #transaction;
  #cutSince;

  constructor(member, vm, socket, network) {
    this.member = member;
    this.vm = vm;
    this.socket = socket;
    this.network = network;
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      this.#input += chunk.toString('latin1');
      this.#pump();
    });
    socket.on('end', () => this.#farEnded());
    socket.on('close', () => this.#farEnded());
    this.stopWatching = network.onChange(() => this.#pump());
    this.timer = setInterval(() => this.#dropIfDark(), 100);
  }

  reset() {
    this.#end();
    this.socket.resetAndDestroy();
  }

  get #isReached() {
    return (
      this.member.state === 'up' &&
      this.network.reaches(this.vm, this.member.id)
    );
  }

  #pump() {
    if (!this.#isReached || this.#isEnded) return;
    this.#cutSince = undefined;
    for (const text of this.#output.splice(0))
      this.socket.write(text, 'latin1');
    let end = this.#input.indexOf('\r\n');
    while (end >= 0) {
      const line = this.#input.slice(0, end);
      this.#input = this.#input.slice(end + 2);
      this.#lines = this.#lines.then(() => this.#line(line));
      end = this.#input.indexOf('\r\n');
    }
  }

  /** The far end has closed; a member that is cut off does not learn it. */
  #farEnded() {
    if (this.#isReached) {
      this.#end();
      this.socket.destroy();
    } else {
      this.#input = '';
    }
  }

  #dropIfDark() {
    if (this.#isReached) {
      if (this.socket.destroyed) this.#end();
      return;
    }
    if (this.member.state !== 'up') return;
    const now = this.member.group.clock();
    this.#cutSince ??= now;
    if (now - this.#cutSince < DARK_CONNECTION_MS) return;
    this.#end();
    // The reset does not arrive while the link is cut.
    const stop = this.network.onChange(() => {
      if (!this.#isReached) return;
      stop();
      this.socket.resetAndDestroy();
    });
  }

  #end() {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#transaction = undefined;
    clearInterval(this.timer);
    this.stopWatching();
    this.onEnd();
  }

  #write(text) {
    if (this.#isEnded || this.socket.destroyed) return;
    if (this.#isReached) this.socket.write(text, 'latin1');
    else this.#output.push(text);
  }

  #answer(...lines) {
    const state = {undefined: 'I', failed: 'E'}[this.#transaction] ?? 'T';
    const {member} = this;
    const position = member.positionOf(member.applied);
    const all = [...lines, `READY ${state} ${position}`];
    this.#write(all.map(line => `${line}\r\n`).join(''));
  }

  async #line(line) {
    if (this.#isEnded || this.member.state !== 'up') return;
    const [word, ...rest] = line.split(' ');
    if (word === 'STARTUP') return this.#open(rest);
    if (word === 'TERMINATE') {
      this.#end();
      this.socket.end();
      return;
    }
    if (word !== 'QUERY' || !this.#isOpen) return this.reset();
    const [id, ...words] = rest;
    await this.#query(id, words.join(' '));
  }

  async #open([service, tenant, id]) {
    const {member} = this;
    this.tenant = tenant;
    const {handshakeMs, maxConns} = member.group.options;
    const reject = code => {
      this.#write(`ERROR ${code} ${member.id}\r\n`);
      this.#end();
      this.socket.end();
    };
    if (service !== member.group.name || (id && id !== member.id)) {
      return reject('MISROUTED');
    }
    if (member.connections > maxConns) return reject('TOOMANY');
    if (!(await member.work(handshakeMs))) return reject('BUSY');
    this.#isOpen = true;
    this.#write(`READY I ${member.positionOf(member.applied)}\r\n`);
  }

  async #query(id, sent) {
    const {member} = this;
    const after = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(sent);
    const text = after ? after[3] : sent;
    const fail = code => {
      if (this.#transaction) this.#transaction = 'failed';
      this.#answer(`ERROR ${code} ${member.id}`);
    };
    if (after && !member.holds(Number(after[1]), Number(after[2]))) {
      return fail('LAGGING');
    }
    const [verb, ...words] = text.split(' ');
    if (this.#transaction === 'failed' && verb !== 'ROLLBACK') {
      return this.#answer(`ERROR MALFORMED ${member.id}`);
    }
    switch (verb) {
      case 'SET':
        this.#values.set(words[0], words.slice(1).join(' '));
        return this.#answer('COMPLETE -');
      case 'RESET':
        this.#values.clear();
        this.#prepared.clear();
        return this.#answer('COMPLETE -');
      case 'PREPARE':
        this.#prepared.set(words[0], words[1]);
        return this.#answer('COMPLETE -');
      case 'STATUS':
        return this.#status();
      case 'STEPDOWN':
        return this.#stepDown(Number(words[0]));
      case 'BEGIN':
        if (words[0] !== 'READ' && member.role !== 'primary') {
          return fail('READONLY');
        }
        this.#transaction = {
          access: words[0] === 'READ' ? 'read' : 'write',
          term: member.term,
          writes: [],
        };
        return this.#answer('COMPLETE -');
      case 'ROLLBACK':
        this.#transaction = undefined;
        return this.#answer('COMPLETE -');
      case 'COMMIT':
        return this.#commit(id, fail);
      case 'EXECUTE': {
        const access = this.#prepared.get(words[0]);
        if (!access) return fail('NOSTMT');
        return this.#statement(id, [access, ...words.slice(1)], fail);
      }
      case 'READ':
      case 'WRITE':
        return this.#statement(id, [verb, ...words], fail);
      default:
        return fail('MALFORMED');
    }
  }

  /** Occupies a slot; refuses if none is free, as it does not queue. */
  async #status() {
    const {member} = this;
    if (!member.hasFreeSlot) {
      this.#answer(`ERROR BUSY ${member.id}`);
      return;
    }
    await member.work(STATUS_MS);
    const {role, term, log, connections} = member;
    const received = member.positionOf(log.length);
    this.#answer(
      `DATAROW ${role} ${term} ${received} ${term} 0 0 ${connections}`,
      'COMPLETE -',
    );
  }

  async #stepDown(term) {
    const {member} = this;
    if (member.role === 'primary' && member.term < term) {
      member.role = 'replica';
      member.report();
    }
    await this.#status();
  }

  #ran(request) {
    const {member, tenant} = this;
    const at = member.group.clock();
    member.group.runs.push({request, member: member.id, tenant, at});
  }

  /** Whether a plain transaction, or a write, has no primary here any more. */
  #hasNoPrimary(isWrite) {
    const {member} = this;
    const transaction = this.#transaction;
    if (transaction?.access === 'write') {
      return member.role !== 'primary' || member.term !== transaction.term;
    }
    return isWrite && member.role !== 'primary';
  }

  async #statement(id, [verb, item, ...data], fail) {
    const {member} = this;
    const {readMs, writeMs} = member.group.options;
    const isWrite = verb === 'WRITE';
    if (this.#hasNoPrimary(isWrite)) return fail('READONLY');
    if (!(await member.work(isWrite ? writeMs : readMs))) return fail('BUSY');
    if (this.#isEnded || member.state !== 'up') return undefined;
    if (this.#hasNoPrimary(isWrite)) return fail('READONLY');
    this.#ran(id);
    const write = {item, data: data.join(' ')};
    const transaction = this.#transaction;
    if (isWrite && transaction) transaction.writes.push(write);
    else if (isWrite) member.commit(id, [write]);
    const signature = `${member.id}.${id}`;
    if (isWrite) return this.#answer(`COMPLETE ${signature}`);
    const visible = member.log.slice(0, member.applied);
    member.group.reads.push({
      request: id,
      member: member.id,
      at: member.group.clock(),
      log: visible,
    });
    const found = visible.findLast(commit => commit.item === item);
    return this.#answer(
      `DATAROW ${found?.data ?? 'none'}`,
      `COMPLETE ${signature}`,
    );
  }

  async #commit(id, fail) {
    const {member} = this;
    const transaction = this.#transaction;
    if (!transaction) return fail('MALFORMED');
    const {writes} = transaction;
    const hasLost = writes.length > 0 && this.#hasNoPrimary(true);
    this.#transaction = undefined;
    if (hasLost) return fail('READONLY');
    if (!(await member.work(member.group.options.writeMs))) {
      this.#transaction = 'failed';
      return fail('BUSY');
    }
    if (this.#isEnded || member.state !== 'up') return undefined;
    if (writes.length > 0 && member.role !== 'primary') return fail('READONLY');
    this.#ran(id);
    member.commit(id, writes);
    return this.#answer(`COMPLETE ${member.id}.${id}`);
  }
}
