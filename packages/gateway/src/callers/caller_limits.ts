import {deriveProcessBudget} from '@pistachiorill/core';
import type {
  ClientTimeouts,
  ConnectionLimits,
  ProcessBudget,
} from '@pistachiorill/core';
import type {GatewaySettings} from '../daemon/gateway_settings.js';

/** The limits of callers' connections. */
export interface CallerLimits {
  readonly connections: ConnectionLimits;
  readonly timeouts: ClientTimeouts;
  readonly budget: ProcessBudget;
  /** Messages of one caller that are decoded and not answered. */
  readonly maxPipelined: number;
  /** Received and unanswered bytes of one caller. */
  readonly maxInboundBytes: number;
  /** Earlier answers of one caller that may be unread at the next one. */
  readonly maxOutboundBytes: number;
}

const BYTES_PER_KB = 1_024;
const MS_PER_S = 1_000;
/**
 * The part of the descriptors that is left to members, store, peers, endpoints
 * and files if the settings name no reserve.
 */
const RESERVED_PART = 1 / 3;

/** Returns the limits that the settings state or from which they follow. */
export function callerLimitsOf(
  limits: GatewaySettings['limits'],
): CallerLimits {
  const {max_descriptors: descriptors} = limits;
  const reserve =
    limits.descriptor_reserve ?? Math.ceil(descriptors * RESERVED_PART);
  const free = Math.max(1, descriptors - reserve);
  return {
    connections: {
      maxConnections: Math.min(free, limits.max_callers || free),
      maxPerAddress: limits.callers_per_address,
    },
    timeouts: {
      loginMs: limits.caller_login_s * MS_PER_S,
      messageMs: limits.caller_message_s * MS_PER_S,
      answerMs: limits.caller_answer_s * MS_PER_S,
    },
    budget: deriveProcessBudget(limits.memory_mb),
    maxPipelined: limits.caller_pipelined,
    maxInboundBytes: limits.caller_inbound_kb * BYTES_PER_KB,
    maxOutboundBytes: limits.caller_outbound_kb * BYTES_PER_KB,
  };
}
