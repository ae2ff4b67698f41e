import {fail} from '@pistachiorill/core';
import type {DatabaseMessage} from './database_message.js';
import {checkoutRefusal} from './lease_refusals.js';

type CheckoutMessage = Extract<DatabaseMessage, {kind: 'check-out'}>;

/**
 * The check-outs that wait until a primary change ends. Once closed, it refuses
 * these and all further ones: a statement that starts then is cut off.
 */
export class DeferredCheckouts {
  private messages: CheckoutMessage[] = [];
  private phase: 'open' | 'closed' = 'open';

  /** The number of check-outs that wait. */
  get size(): number {
    return this.messages.length;
  }

  add(message: CheckoutMessage): void {
    this.messages.push(message);
  }

  /** Removes and returns all check-outs. */
  takeAll(): readonly CheckoutMessage[] {
    return this.messages.splice(0);
  }

  /** Refuses all check-outs from now on, starting with those that wait. */
  close(waiting: readonly CheckoutMessage[]): void {
    this.phase = 'closed';
    const refused = [...this.takeAll(), ...waiting];
    refused.forEach(item => this.refuseIfClosed(item));
  }

  /** Refuses a check-out if this is closed; returns whether it did. */
  refuseIfClosed({reply}: CheckoutMessage): boolean {
    if (this.phase === 'open') return false;
    reply.answer(fail(checkoutRefusal('no-member', 'the group is closed')));
    return true;
  }
}
