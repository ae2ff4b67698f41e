import * as z from 'zod';

/** A row in a response of the table service. */
export const ROW_SCHEMA = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int(),
});

/** The response of the table service to a list request. */
export const ROWS_SCHEMA = z.array(ROW_SCHEMA);

/** The response of the object store to a list request. */
export const NAMES_SCHEMA = z.array(z.string());

const MAX_PORT = 65_535;

/** `host:port`, with a port that can be connected to. */
const ADDRESS_SCHEMA = z.string().refine(address => {
  const [, port] = /^[^\s:]+:(\d{1,5})$/.exec(address) ?? [];
  return Number(port) >= 1 && Number(port) <= MAX_PORT;
});

/** An entry of the platform's VM list. */
export const LISTED_VM_SCHEMA = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  address: ADDRESS_SCHEMA,
  state: z.enum(['live', 'leaving']),
  http: ADDRESS_SCHEMA.optional(),
});

/**
 * The response of the platform to a request for its VM list. Entries are decoded
 * one by one, so that an odd one does not hide the others.
 */
export const VM_LIST_SCHEMA = z.array(z.unknown());
