import {expect, it} from 'vitest';
import {SessionSettings} from '../session_settings.js';

// Guards against a session whose values and prepared statements grow without a
// bound, and against one that cannot replace or remove them at the limit.
it('holds a limited number of bytes', () => {
  const settings = new SessionSettings(1_000);
  const set = (name: string, length: number): string => {
    const value = 'v'.repeat(length);
    const {kind} = settings.apply({kind: 'set', name, value});
    return `set ${name} to ${length}: ${kind}, holds ${settings.heldBytes}`;
  };
  const prepare = (name: string, length: number): string => {
    const shape = 's'.repeat(length);
    const statement = {access: 'read', shape} as const;
    const {kind} = settings.apply({kind: 'prepare', name, statement});
    return `prepare ${name} of ${length}: ${kind}, holds ${settings.heldBytes}`;
  };
  const deallocate = (name: string): string => {
    const {kind} = settings.apply({kind: 'deallocate', name});
    return `deallocate ${name}: ${kind}, holds ${settings.heldBytes}`;
  };
  expect([
    set('a', 300),
    prepare('p', 300),
    set('b', 300),
    set('a', 301),
    set('a', 10),
    set('b', 300),
    deallocate('p'),
    deallocate('p'),
    prepare('q', 2_000),
  ]).toMatchSnapshot();
});
