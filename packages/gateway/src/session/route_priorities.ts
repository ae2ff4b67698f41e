import type {RuntimeConfiguration} from '@pistachiorill/core';

const results = new WeakMap<RuntimeConfiguration, boolean>();

/** Whether the routes of a configuration have different priorities. */
export function hasPriorities(
  configuration: RuntimeConfiguration | undefined,
): boolean {
  if (!configuration) return false;
  const known = results.get(configuration);
  if (known !== undefined) return known;
  const priorities = [...configuration.routes.values()].map(
    route => route.priority,
  );
  const result = new Set(priorities).size > 1;
  results.set(configuration, result);
  return result;
}
