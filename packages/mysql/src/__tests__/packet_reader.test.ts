import {deriveClientLimits} from '@pistachiorill/core';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PacketReader} from '../packet_reader.js';

const LIMITS = {
  ...deriveClientLimits({
    memoryBytes: 1e9,
    descriptors: 1_000,
    statementBytes: 60,
    loginTimeoutMs: 1,
    packetTimeoutMs: 1,
    readTimeoutMs: 1,
  }),
  unreservedBytes: 30,
  discardBytes: 100,
};

function packet(length: number): Buffer {
  const header = Buffer.alloc(4);
  header.writeUIntLE(length, 0, 3);
  return Buffer.concat([header, Buffer.alloc(length, length)]);
}

/** Reads chunks, answering each packet after `answerAfter` further chunks. */
function read(
  chunks: readonly Buffer[],
  answer: 'at-once' | 'later',
): string[] {
  const actions: string[] = [];
  const reader: PacketReader = new PacketReader(LIMITS, {
    reserve: bytes => {
      actions.push(`reserve ${bytes}`);
      return 'waiting';
    },
    onBegun: () => actions.push('begun'),
    onPacket: data => actions.push(`packet ${data.length} ${data.at(-1)}`),
    onDiscarded: bytes => actions.push(`discarded ${bytes}`),
    onRefused: bytes => actions.push(`refused ${bytes}`),
  });
  const settle = (): void => {
    for (let count = -1; count !== actions.length;) {
      count = actions.length;
      reader.granted();
      reader.resume();
    }
  };
  for (const chunk of chunks) {
    reader.push(chunk);
    if (answer === 'at-once') settle();
  }
  settle();
  return actions;
}

const STREAM = Buffer.concat([3, 0, 40, 70, 20, 60, 99, 1, 100, 5].map(packet));

describe('PacketReader', () => {
  // Guards against packets that are lost, merged or held beyond their limit.
  it('handles each packet by its size', () => {
    expect(read([STREAM], 'later')).toMatchSnapshot();
  });

  // Guards against a result that depends on how the bytes are cut.
  it('does not depend on the pieces', () => {
    const expected = read([STREAM], 'later');
    const bytes = [...STREAM].map(byte => Buffer.of(byte));
    expect(read(bytes, 'at-once')).toEqual(expected);
    expect(read(bytes, 'later')).toEqual(expected);
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: STREAM.length}), {maxLength: 12}),
        fc.constantFrom('at-once' as const, 'later' as const),
        (cuts, answer) => {
          const points = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
          const chunks = points
            .slice(1)
            .map((end, index) => STREAM.subarray(points[index], end));
          expect(read(chunks, answer)).toEqual(expected);
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
