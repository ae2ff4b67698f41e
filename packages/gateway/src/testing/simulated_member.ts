import type {SimulatedTime} from './simulated_time.js';

/** A member queues this many statements for each of its slots. */
const QUEUE_PER_SLOT = 8;

/** How the members of a simulation behave. */
export interface MemberBehaviour {
  readonly slots: number;
  /** How many times longer a member takes after `executed` statements. */
  readonly slowness: (
    address: string,
    executed: number,
    restarts: number,
  ) => number;
  /** A time in which a member does not respond, after which it restarts. */
  readonly outage?: {
    readonly address: string;
    readonly from: number;
    readonly to: number;
  };
}

/** A member that queues statements in front of its slots. */
export class SimulatedMember {
  private readonly waiting: Array<() => void> = [];
  private executing = 0;
  private executed = 0;
  private restarts = 0;

  constructor(
    private readonly address: string,
    private readonly time: SimulatedTime,
    private readonly behaviour: MemberBehaviour,
  ) {}

  /** Whether the member responds. */
  get isUp(): boolean {
    const {outage} = this.behaviour;
    if (outage?.address !== this.address) return true;
    return !(this.time.now >= outage.from && this.time.now < outage.to);
  }

  /** Restarts the member without the statements that it held. */
  reset(): void {
    this.executing = 0;
    this.executed = 0;
    this.restarts++;
    this.waiting.length = 0;
  }

  /** Executes a statement, or refuses it if the queue is full. */
  receive(serviceMs: number, done: (outcome: 'done' | 'busy') => void): void {
    if (!this.isUp) return;
    const {slots} = this.behaviour;
    const run = (): void => this.execute(serviceMs, () => done('done'));
    if (this.executing < slots) run();
    else if (this.waiting.length < slots * QUEUE_PER_SLOT) {
      this.waiting.push(run);
    } else done('busy');
  }

  private execute(serviceMs: number, done: () => void): void {
    this.executing++;
    const {restarts} = this;
    const {slowness} = this.behaviour;
    const factor = slowness(this.address, this.executed++, restarts);
    this.time.after(serviceMs * factor, () => {
      if (!this.isUp || restarts !== this.restarts) return;
      this.executing--;
      done();
      this.waiting.shift()?.();
    });
  }
}
