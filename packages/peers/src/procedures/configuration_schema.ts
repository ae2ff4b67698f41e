import * as z from 'zod';

/** Requests a document body by hash, or the version in force without one. */
export const CONFIGURATION_SCHEMA = z.object({hash: z.string().optional()});

export type ConfigurationRequest = z.infer<typeof CONFIGURATION_SCHEMA>;

/** The requested document, if the receiving VM has it. */
export type ConfigurationResponse =
  | {
      readonly kind: 'found';
      readonly version: number;
      readonly hash: string;
      readonly body: string;
    }
  | {readonly kind: 'missing'};
