// Stand-ins of a database service: its members (PROTOCOL.md, "Members" and
// "Service discovery") and the platform's `POST /failover`.
import {createServer as createHttpServer} from 'node:http';
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';
import {cut, readLines} from './lines.mjs';

const HEARTBEAT_MS = 1_200;
const WORK_MS = 4;
/** "until a second after it can reach the new primary" */
const FOLLOW_MS = 1_000;

/** A member and its log, in which each commit that writes has a number. */
class Member {
  constructor(id, zone, group) {
    this.id = id;
    this.zone = zone;
    this.group = group;
    this.role = 'replica';
    this.term = 1;
    /** Entries `{term, number, writes, id}`; the last `applied` is visible. */
    this.log = [];
    this.applied = 0;
    /** How much later than the primary a commit is received, and applied. */
    this.receiveMs = 2;
    this.applyMs = 18;
    this.dark = false;
    this.listed = true;
    this.state = 'ready';
    this.seq = 0;
    this.born = Date.now();
    this.sockets = new Set();
    this.sessions = 0;
    this.server = createServer(socket => this.accept(socket));
  }

  /** The position of the log that is visible to reads. */
  get position() {
    return positionAt(this.log, this.applied);
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.setNoDelay(true);
    const session = new MemberSession(this, socket);
    let work = Promise.resolve();
    readLines(socket, line => {
      work = work.then(() => session.line(line)).catch(() => socket.destroy());
    });
  }

  /** Loses power or connection: nothing arrives and nothing is sent. */
  goDark() {
    this.dark = true;
    for (const socket of this.sockets) socket.pause();
  }

  /** Is back with its log; connections from before are gone. */
  comeBack() {
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.dark = false;
    this.group.reachable(this);
    this.beat();
  }

  /** Writes its entry to the store. */
  beat() {
    if (this.dark || !this.listed) return;
    this.group.store.put('servers', this.id, {
      service: this.group.name,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 4,
      state: this.state,
      warmupLeftMs: 0,
      seq: ++this.seq,
      born: this.born,
      dbRole: this.role,
    });
  }
}

/** One connection to a member. */
class MemberSession {
  constructor(member, socket) {
    this.member = member;
    this.socket = socket;
    this.state = 'I';
    this.isOpen = false;
  }

  async line(line) {
    const {member, socket} = this;
    if (member.dark || socket.destroyed) return;
    const [word, rest] = cut(line);
    if (word === 'STARTUP') return this.open(rest);
    if (word === 'TERMINATE' || !this.isOpen) return void socket.end();
    const [id, sent] = cut(rest);
    const after = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(sent);
    const text = after ? after[3] : sent;
    if (after && !holds(member, Number(after[1]), Number(after[2]))) {
      if (this.state === 'T') this.state = 'E';
      return this.answer(['ERROR LAGGING -']);
    }
    this.answer(await this.run(id, text));
  }

  open(rest) {
    const {member, socket} = this;
    const [service, , id] = rest.split(' ');
    if (service !== member.group.name || (id && id !== member.id)) {
      return void socket.end(`ERROR MISROUTED ${member.id}\r\n`);
    }
    this.isOpen = true;
    socket.write(`READY I ${member.position}\r\n`);
  }

  answer(lines) {
    const {member, socket, state} = this;
    if (member.dark || socket.destroyed) return;
    const all = [...lines, `READY ${state} ${member.position}`];
    socket.write(all.map(line => `${line}\r\n`).join(''), 'latin1');
  }

  async run(id, text) {
    const {member} = this;
    const {group} = member;
    const [verb, rest] = cut(text);
    if (this.state === 'E' && verb !== 'ROLLBACK') return ['ERROR MALFORMED -'];
    switch (verb) {
      case 'SET':
      case 'RESET':
        return ['COMPLETE -'];
      case 'BEGIN':
        if (rest !== 'READ' && member.role !== 'primary')
          return this.readOnly();
        this.state = 'T';
        this.plainTerm = rest === 'READ' ? undefined : member.term;
        this.writes = [];
        return ['COMPLETE -'];
      case 'ROLLBACK':
        this.state = 'I';
        return ['COMPLETE -'];
      case 'STATUS':
        return this.status();
      case 'STEPDOWN':
        group.stepDown(member, Number(rest));
        return this.status();
    }
    await new Promise(resolve => setTimeout(resolve, WORK_MS));
    if (member.dark) return [];
    const hasLostLead = member.role !== 'primary' || this.hasOldTerm();
    if (verb === 'READ') {
      if (this.state === 'T' && this.plainTerm !== undefined && hasLostLead) {
        return this.readOnly();
      }
      const value = valueIn(member, rest);
      group.onRun({kind: 'read', id, member, item: rest, value});
      return [
        ...(value === undefined ? [] : [`DATAROW ${value}`]),
        `COMPLETE ${group.sign(member)}`,
      ];
    }
    if (verb === 'WRITE') {
      if (hasLostLead) return this.readOnly();
      const [item, data] = cut(rest);
      if (this.state === 'T') this.writes.push({item, data});
      else group.commit(member, [{item, data}], id);
      return [`COMPLETE ${group.sign(member)}`];
    }
    if (verb === 'COMMIT' && this.state === 'T') {
      this.state = 'I';
      if (this.writes.length > 0 && hasLostLead) return this.readOnly();
      if (this.writes.length > 0) group.commit(member, this.writes, id);
      return [`COMPLETE ${group.sign(member)}`];
    }
    return ['ERROR MALFORMED -'];
  }

  hasOldTerm() {
    return this.state === 'T' && this.plainTerm !== this.member.term;
  }

  readOnly() {
    if (this.state === 'T') this.state = 'E';
    return [`ERROR READONLY ${this.member.id}`];
  }

  status() {
    const {role, term, log} = this.member;
    const received = positionAt(log, log.length);
    return [`DATAROW ${role} ${term} ${received} ${term} 0 0 1`, 'COMPLETE -'];
  }
}

/** The members of one service, and the platform's failover call for it. */
export class Group {
  constructor(name, store, record, {promoteMs, zones}) {
    this.name = name;
    this.store = store;
    this.record = record;
    this.promoteMs = promoteMs;
    this.onRun = () => undefined;
    /** Commits `{id, member, term, number, at}` and promotions, in order. */
    this.commits = [];
    this.promotions = [];
    this.orders = [];
    this.signatures = 0;
    this.members = zones.map(
      (zone, i) => new Member(`i-${name}-${i + 1}`, zone, this),
    );
    this.members[0].role = 'primary';
    this.cloud = createHttpServer((req, res) => {
      this.order(req, res).catch(() => res.destroy());
    });
  }

  async listen(host) {
    for (const member of this.members) {
      await new Promise(resolve => member.server.listen(0, host, resolve));
      member.address = `${host}:${member.server.address().port}`;
      member.beat();
    }
    await new Promise(resolve => this.cloud.listen(0, host, resolve));
    this.cloudAddress = `${host}:${this.cloud.address().port}`;
    this.timer = setInterval(() => {
      for (const member of this.members) member.beat();
    }, HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.cloud.closeAllConnections();
    this.cloud.close();
    for (const {server, sockets} of this.members) {
      server.close();
      for (const socket of sockets) socket.destroy();
    }
  }

  sign(member) {
    return `${member.term}.${member.id}.${++this.signatures}`;
  }

  /** The member that leads the latest term. */
  get primary() {
    return this.members
      .filter(member => member.role === 'primary')
      .sort((a, b) => b.term - a.term)[0];
  }

  commit(member, writes, id) {
    const {term} = member;
    const entry = {term, number: member.log.length + 1, writes, id};
    member.log.push(entry);
    member.applied = member.log.length;
    const at = performance.now();
    this.commits.push({id, member: member.id, term, number: entry.number, at});
    if (member === this.primary) this.replicate(member);
  }

  replicate(primary) {
    for (const replica of this.members) {
      if (replica !== primary) this.send(primary, replica);
    }
  }

  /** Sends the log of the primary to a replica, which applies it later. */
  send(primary, replica) {
    const length = primary.log.length;
    setTimeout(() => {
      const isCurrent = primary === this.primary && replica.role === 'replica';
      if (!isCurrent || primary.dark || replica.dark) return;
      if (length <= replica.log.length) return;
      replica.log = primary.log.slice(0, length);
      setTimeout(() => {
        const visible = Math.min(length, replica.log.length);
        replica.applied = Math.max(replica.applied, visible);
      }, replica.applyMs);
    }, replica.receiveMs);
  }

  async order(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const {service, id} = JSON.parse(Buffer.concat(chunks).toString());
    const holder = req.headers['lease-holder'];
    const fence = Number(req.headers['fencing-token']);
    this.orders.push({holder, fence, id, at: performance.now()});
    const member = this.members.find(item => item.id === id);
    const isKnown = service === this.name && member && !member.dark;
    const status = isKnown ? 200 : 409;
    this.record(`failover ${id} by ${holder} fence ${fence}: ${status}`);
    res.writeHead(status).end();
    if (isKnown && member !== this.primary) {
      setTimeout(() => this.promote(member), this.promoteMs);
    }
  }

  promote(member) {
    const former = this.primary;
    if (member.dark || member === former) return;
    member.role = 'primary';
    member.term = Math.max(...this.members.map(item => item.term)) + 1;
    member.applied = member.log.length;
    const {id, term} = member;
    this.promotions.push({member: id, term, at: performance.now()});
    this.record(`promote of ${id} takes effect, term ${term}`);
    for (const other of this.members) {
      if (other.role === 'replica') this.follow(other);
    }
    this.reachable(former);
  }

  /** A former primary follows a second after it can reach the new one. */
  reachable(member) {
    setTimeout(() => {
      const isOld = member.role === 'primary' && member !== this.primary;
      if (isOld && !member.dark) this.follow(member);
    }, FOLLOW_MS);
  }

  stepDown(member, term) {
    if (member.role === 'primary' && member.term < term) this.follow(member);
  }

  /** Becomes a replica of the primary; entries that it lacks are dropped. */
  follow(member) {
    const {primary} = this;
    if (member.role === 'primary') this.record(`${member.id} steps down`);
    member.role = 'replica';
    member.term = primary.term;
    let common = 0;
    while (
      common < member.log.length &&
      member.log[common] === primary.log[common]
    ) {
      common++;
    }
    member.log = member.log.slice(0, common);
    member.applied = Math.min(member.applied, common);
    member.beat();
    this.send(primary, member);
  }
}

function positionAt(log, length) {
  const last = log[length - 1];
  return last ? `${last.term}.${last.number}` : '1.0';
}

function holds(member, term, number) {
  return (
    number === 0 ||
    (number <= member.applied && member.log[number - 1].term === term)
  );
}

function valueIn({log, applied}, item) {
  for (let i = applied - 1; i >= 0; i--) {
    const write = log[i].writes.findLast(entry => entry.item === item);
    if (write) return write.data;
  }
  return undefined;
}
