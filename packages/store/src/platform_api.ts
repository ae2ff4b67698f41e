import {z} from 'zod';

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

/** The response of the platform to a request for its VM list. */
export const LISTED_VMS_SCHEMA = z.array(
  z.object({
    vm: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    state: z.enum(['live', 'leaving']),
    http: z.string().optional(),
  }),
);
