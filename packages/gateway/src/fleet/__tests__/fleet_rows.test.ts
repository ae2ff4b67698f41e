import {describe, expect, it, vi} from 'vitest';
import {RowDecoder} from '../fleet_rows.js';

const VM = {peers: '10.0.0.1:7560', dataCentre: 'macon', incarnation: 'i-1'};

const ROWS: ReadonlyArray<readonly [string, string]> = [
  ['vm/vm-a', JSON.stringify(VM)],
  ['vm/odd-port', JSON.stringify({...VM, peers: '10.0.0.1:70000'})],
  ['vm/nested', '['.repeat(30_000) + ']'.repeat(30_000)],
  ['vm/null', 'null'],
  ['leadership/wash', JSON.stringify({phase: 'settled', primary: 'a'})],
  ['leadership/odd', JSON.stringify({phase: 'asleep'})],
  ['duty', '{"holder":"vm-a","fence":1e300,"takenAt":1}'],
  ['shares', '{"vm-a":{"ppm":1e300}}'],
  ['usage-lease', '{"holder":"vm-a","fence":7,"takenAt":1,"era":2}'],
  ['usage/41', '{"counts":{"growers":3},"era":0}'],
  ['usage/odd', '{"counts":{"growers":3},"era":0}'],
  ['usage/42', '{"counts":{"growers":-1},"era":0}'],
  ['from-the-future', '{}'],
];

describe('RowDecoder', () => {
  // Guards against an odd row that ends a process, hides other rows, or gives a
  // VM more than the whole rate.
  it('leaves out odd rows and reports each once', () => {
    const reported: string[] = [];
    const decoder = new RowDecoder(key => reported.push(key));
    const rows = ROWS.map(([key, value], i) => ({key, value, version: i + 1}));
    decoder.decode(rows);
    expect({rows: decoder.decode(rows), reported}).toMatchSnapshot();
  });

  // Guards against the cost of all rows at each registration of a large fleet.
  it('decodes each row once', () => {
    const decoder = new RowDecoder(() => undefined);
    const row = {key: 'vm/vm-a', value: JSON.stringify(VM), version: 1};
    const parse = vi.spyOn(JSON, 'parse');
    for (let i = 0; i < 10; i++) decoder.decode([row]);
    const calls = parse.mock.calls.length;
    parse.mockRestore();
    expect(calls).toBe(1);
  });
});
