import type {ResultColumn, StatementResult} from '@pistachiorill/core';

const CHARACTER_SET_UTF8MB4 = 45;
const TYPE_VAR_STRING = 253;
const TYPE_LONGLONG = 8;
const TYPE_DOUBLE = 5;

type Value = number | string | Uint8Array | null;

/** Builds a MySQL text result set; column types follow from the values. */
export function toRowsResult(
  names: readonly string[],
  rows: ReadonlyArray<readonly Value[]>,
): StatementResult {
  return {
    kind: 'rows',
    columns: names.map((name, index) =>
      toColumn(
        name,
        rows.map(row => row[index] ?? null),
      ),
    ),
    rows: rows.map(row => row.map(toBytes)),
  };
}

function toColumn(name: string, values: readonly Value[]): ResultColumn {
  return {
    name,
    table: '',
    characterSet: CHARACTER_SET_UTF8MB4,
    columnLength: 1_024,
    type: typeOf(values),
    flags: 0,
    decimals: 0,
  };
}

function typeOf(values: readonly Value[]): number {
  const known = values.filter(value => value !== null);
  if (known.length === 0) return TYPE_VAR_STRING;
  if (known.every(value => Number.isInteger(value))) return TYPE_LONGLONG;
  if (known.every(value => typeof value === 'number')) return TYPE_DOUBLE;
  return TYPE_VAR_STRING;
}

function toBytes(value: Value): Uint8Array | null {
  if (value === null) return null;
  return value instanceof Uint8Array ? value : Buffer.from(String(value));
}
