import {expect, it} from 'vitest';
import type {Configuration} from '../configuration.js';
import {drainReasons, acceptsNewStatements} from '../drain.js';

function withStates(a: 'in-service' | 'out'): Configuration {
  return {
    whenUnconfirmed: 'refuse',
    dataCentres: [{name: 'a', region: 'r', state: a}],
    backendServers: [],
    databases: [],
    workspaces: [],
    routes: [],
  };
}

// Guards against a VM that serves while a reason to drain remains, and against
// one that drains because the list or the document could not be read.
it.each([
  ['a', 'not-requested', 'live', withStates('in-service')],
  ['a', 'not-requested', 'not-listed', undefined],
  ['a', 'not-requested', 'leaving', withStates('out')],
  ['a', 'requested', 'not-listed', withStates('in-service')],
  ['removed', 'not-requested', 'live', withStates('in-service')],
] as const)(
  'drain reasons of a VM in data centre %s, stop %s, platform state %s',
  (dataCentre, stop, listed, configuration) => {
    expect(
      drainReasons({dataCentre, stop, platformState: listed, configuration}),
    ).toMatchSnapshot();
  },
);

// Guards against new statements on a member in a data centre that is out of
// service.
it('accepts statements on members and data centres in service only', () => {
  const server = {
    name: 's',
    dataCentre: 'a',
    address: '',
    connectionLimit: 15,
    slots: 2,
  };
  expect(
    (['in-service', 'leaving'] as const).flatMap(state =>
      (['in-service', 'out'] as const).map(
        a =>
          `${state} in ${a}: ${acceptsNewStatements({...server, state}, withStates(a))}`,
      ),
    ),
  ).toMatchSnapshot();
});
