/** CPU time and resident memory that a VM reports in its metrics. */
export interface VmResources {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the resources of a VM from `/metrics` on its HTTP port. */
export async function readVmResources(httpPort: number): Promise<VmResources> {
  const res = await fetch(`http://127.0.0.1:${httpPort}/metrics`);
  const text = await res.text();
  return {
    cpuSeconds: valueOf(text, 'pistachiorill_process_cpu_seconds'),
    residentBytes: valueOf(text, 'pistachiorill_resident_bytes'),
  };
}

function valueOf(text: string, name: string): number {
  return Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1]);
}
