import type {Agent} from 'node:http';
import {TRPCClientError} from '@trpc/client';
import type {TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import type {TRPCResultMessage} from '@trpc/server/rpc';
import {postRequest} from './http_request.js';

type ResponseBody =
  | {readonly result: TRPCResultMessage<unknown>['result']}
  | {readonly error: {readonly message: string; readonly code: number}};

/**
 * The terminating link of the client, which posts over `node:http`. The timeout
 * comes from the call's context, because an abort signal for each call costs
 * more CPU time than the encoding of a probe.
 */
export function peerLink<R extends AnyRouter>(
  address: string,
  agent: Agent,
): TRPCLink<R> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return () =>
    ({op}) =>
      observable(observer => {
        postRequest({
          agent,
          host,
          port,
          path: `/${op.path}`,
          body: op.input === undefined ? '' : JSON.stringify(op.input),
          timeoutMs: op.context['timeoutMs'] as number,
          connectTimeoutMs: op.context['connectTimeoutMs'] as
            number | undefined,
          signal: op.signal ?? undefined,
        })
          .then(text => {
            const body = JSON.parse(text) as ResponseBody;
            if ('error' in body) {
              observer.error(TRPCClientError.from(body as never));
              return;
            }
            observer.next({result: body.result as never});
            observer.complete();
          })
          .catch((err: Error) => observer.error(TRPCClientError.from(err)));
      });
}
