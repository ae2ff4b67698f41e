import type {LoanGrant, LoanRequest} from '@pistachiorill/core';
import * as z from 'zod';

/** Requests part of the lender's share or tokens of a workspace. */
export const LOAN_SCHEMA: z.ZodType<LoanRequest> = z.object({
  requestId: z.string(),
  borrower: z.string(),
  workspace: z.string(),
  kind: z.enum(['share', 'tokens', 'renewal']),
  loanId: z.string().optional(),
  ratePpm: z.number().nonnegative(),
  tokens: z.number().nonnegative(),
}) as z.ZodType<LoanRequest>;

/** The lender's response. All amounts are 0 if it lends nothing. */
export type LoanResponse = LoanGrant;

export type {LoanRequest};
