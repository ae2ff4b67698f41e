/** A policy with which the default is compared. */
export interface Baseline {
  readonly name: string;
  /** Values of the `[policy]` section of the VMs' settings. */
  readonly policy: Readonly<Record<string, string>>;
  /** Whether the VMs implement the setting. */
  readonly state: 'implemented' | 'not-implemented';
}

/** One baseline for each setting of the `[policy]` section. */
export const BASELINES: readonly Baseline[] = [
  {
    name: 'reads=primary-only',
    policy: {reads: 'primary-only'},
    state: 'implemented',
  },
  {
    name: 'acknowledge=at-primary',
    policy: {acknowledge: 'at-primary'},
    state: 'implemented',
  },
  {
    name: 'queue=arrival-order',
    policy: {queue: 'arrival-order'},
    state: 'implemented',
  },
  {
    name: 'rates=static-shares',
    policy: {rates: 'static-shares'},
    state: 'not-implemented',
  },
];
