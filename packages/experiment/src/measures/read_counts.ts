/** Reads by the role of the member that served them. */
export interface ReadCounts {
  readonly replica: number;
  readonly primary: number;
}

const LINE = /^pistachiorill_reads_total\{served_by="(\w+)"[^}]*\} (\S+)$/;

/** Parses the read counters in the text of a VM's `/metrics`. */
export function parseReadCounts(metrics: string): ReadCounts {
  const counts = {replica: 0, primary: 0};
  for (const line of metrics.split('\n')) {
    const [, role, value] = LINE.exec(line) ?? [];
    if (role === 'replica' || role === 'primary') counts[role] += Number(value);
  }
  return counts;
}

/**
 * Returns the increase between two readings. A lower value than before means
 * that the VM restarted and its counters started at zero.
 */
export function increaseOf(before: ReadCounts, now: ReadCounts): ReadCounts {
  const restarted =
    now.replica < before.replica || now.primary < before.primary;
  if (restarted) return now;
  return {
    replica: now.replica - before.replica,
    primary: now.primary - before.primary,
  };
}
