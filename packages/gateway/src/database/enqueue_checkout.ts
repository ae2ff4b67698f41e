import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Checkout, CheckoutRefusal, CheckoutRequest} from './checkout.js';
import type {MemberPool} from './member_pool.js';
import type {OverloadRefusals} from './overload_refusals.js';
import type {Placement} from './place_statement.js';

/** Where a placed request is queued, and how it is answered. */
export interface EnqueueTarget {
  readonly pool: MemberPool | undefined;
  readonly refusals: OverloadRefusals;
  readonly reply: Reply<Result<Checkout, CheckoutRefusal>>;
  /** Places the request again after the pool stopped granting connections. */
  readonly placeAgain: () => void;
  readonly clock: Clock;
}

/** Queues a placed request for a connection of its member's pool. */
export function enqueueCheckout(
  placement: Placement,
  request: CheckoutRequest,
  {pool, refusals, reply, placeAgain, clock}: EnqueueTarget,
): void {
  const {member} = placement;
  const {workspace, priority, values, use, until, dueAt} = request;
  pool?.add(
    {
      workspace,
      priority,
      values,
      use,
      until,
      dueAt,
      grant: connection => reply.answer(ok({...placement, connection})),
      refuse: (reason, load) => {
        if (reason === 'pool-drained') {
          placeAgain();
          return;
        }
        const now = clock();
        reply.answer(
          fail(refusals.ofPool(reason, member, priority, load, now)),
        );
      },
    },
    clock(),
  );
}
