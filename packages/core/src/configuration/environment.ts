/** The environments that a document is promoted to, in this order. */
export const ENVIRONMENTS = ['trial', 'production'] as const;

/** The name of an environment. */
export type Environment = (typeof ENVIRONMENTS)[number];
