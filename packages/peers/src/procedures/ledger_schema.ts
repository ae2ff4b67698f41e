import * as z from 'zod';

/** Requests the ledger row if its version is at least `version`. */
export const LEDGER_SCHEMA = z.object({
  /** The key of the row. VMs of other environments return `missing`. */
  key: z.string(),
  version: z.number().int().positive(),
});

export type LedgerRequest = z.infer<typeof LEDGER_SCHEMA>;

/** The ledger row, if the receiving VM has a version that is new enough. */
export type LedgerResponse =
  | {
      readonly kind: 'found';
      readonly version: number;
      /** The content of the row in this version. */
      readonly value: string;
    }
  | {readonly kind: 'missing'};
