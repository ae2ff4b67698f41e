import type {IncomingMessage} from 'node:http';
import {ByteBudget} from '@pistachiorill/core';
import {TRPCError} from '@trpc/server';
import type {OnExceeded} from './limited_http_server.js';

/** Bodies up to this size are read without a reservation. */
const UNRESERVED_BYTES = 64 * 1_024;

/** A body waits for one that was granted before, and for its handling. */
const WAIT_FACTOR = 2;

/** The limits of request bodies. */
export interface BodyLimits {
  readonly bodyBytes: number;
  /** Bytes of all larger bodies that are read or handled at a time. */
  readonly bodiesBytes: number;
  /** Time in which a body must arrive once it is read. */
  readonly bodyTimeoutMs: number;
}

/** A request body whose memory is reserved until `release`. */
export interface ReceivedBody {
  readonly text: string;
  readonly release: () => void;
}

/** Reads the bodies of requests within the memory that they share. */
export class PeerBodyReader {
  private readonly budget: ByteBudget;
  private readonly waiting = new Map<number, () => void>();
  private nextId = 1;

  constructor(
    private readonly limits: BodyLimits,
    private readonly onExceeded: OnExceeded,
  ) {
    this.budget = new ByteBudget(limits.bodiesBytes);
  }

  /**
   * Reads a body; throws a `TRPCError` if it exceeds a limit. Nothing has been
   * executed then. The size must be stated in advance.
   */
  async read(req: IncomingMessage): Promise<ReceivedBody> {
    const bytes = Number(req.headers['content-length'] ?? 0);
    if (req.headers['transfer-encoding'] !== undefined) {
      throw new TRPCError({code: 'BAD_REQUEST', message: 'chunked body'});
    }
    if (bytes > this.limits.bodyBytes) {
      this.exceeded(req, 'body-bytes');
      throw new TRPCError({code: 'PAYLOAD_TOO_LARGE'});
    }
    if (bytes <= UNRESERVED_BYTES) {
      return {text: await this.receive(req, bytes), release: () => undefined};
    }
    const id = this.nextId;
    this.nextId += 1;
    const release = (): void => this.release(id);
    try {
      await this.reserve(req, id, bytes);
      return {text: await this.receive(req, bytes), release};
    } catch (err) {
      release();
      throw err;
    }
  }

  private async reserve(
    req: IncomingMessage,
    id: number,
    bytes: number,
  ): Promise<void> {
    if (this.budget.reserve(id, bytes, 0) === 'granted') return;
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => {
        this.exceeded(req, 'bodies-bytes');
        reject(new TRPCError({code: 'TOO_MANY_REQUESTS'}));
      }, WAIT_FACTOR * this.limits.bodyTimeoutMs);
      this.waiting.set(id, () => {
        clearTimeout(timer);
        resolve();
      });
      req.once('close', () => {
        clearTimeout(timer);
        reject(new TRPCError({code: 'CLIENT_CLOSED_REQUEST'}));
      });
    });
  }

  private release(id: number): void {
    this.waiting.delete(id);
    for (const granted of this.budget.release(id)) {
      this.waiting.get(granted)?.();
      this.waiting.delete(granted);
    }
  }

  private receive(req: IncomingMessage, bytes: number): Promise<string> {
    return new Promise((resolve, reject) => {
      const body = Buffer.allocUnsafe(bytes);
      let received = 0;
      const timer = setTimeout(() => {
        this.exceeded(req, 'packet-time');
        req.socket.destroy();
      }, this.limits.bodyTimeoutMs);
      const fail = (): void => {
        clearTimeout(timer);
        reject(new TRPCError({code: 'CLIENT_CLOSED_REQUEST'}));
      };
      req.on('data', (chunk: Buffer) => {
        chunk.copy(body, received);
        received += chunk.length;
      });
      req.on('error', fail);
      req.on('close', fail);
      req.on('end', () => {
        clearTimeout(timer);
        resolve(body.toString('utf8', 0, received));
      });
    });
  }

  private exceeded(
    req: IncomingMessage,
    limit: Parameters<OnExceeded>[0],
  ): void {
    this.onExceeded(limit, req.socket.remoteAddress ?? 'unknown');
  }
}
