import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {SuspensionClock, SystemClocks} from '../clock/suspension_clock.js';

/** Creates the clock of the VM, and reports the jumps that it notices. */
export function newSuspensionClock(
  log: Logger,
  onSkip: (skippedMs: number) => void,
): Clock {
  const suspension = new SuspensionClock(new SystemClocks(), skippedMs => {
    log.warn(
      {event: 'clock.skipped', skippedMs},
      'the machine was suspended or its clock was set forward',
    );
    // Deferred, because this callback runs while the clock is being read.
    setImmediate(() => onSkip(skippedMs));
  });
  return () => suspension.now();
}
