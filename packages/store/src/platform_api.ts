import {z} from 'zod';

/** Bodies of the platform's HTTP interface. */
export const ROW_SCHEMA = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number().int(),
});

export const ROWS_SCHEMA = z.array(ROW_SCHEMA);

export const NAMES_SCHEMA = z.array(z.string());

export const LISTED_VMS_SCHEMA = z.array(
  z.object({
    vm: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    state: z.enum(['live', 'leaving']),
    http: z.string().optional(),
  }),
);
