/** The kinds of token that the statement checks distinguish. */
export type SqlTokenKind =
  | 'word'
  | 'string'
  | 'quoted-name'
  | 'user-variable'
  | 'system-variable'
  | 'comment'
  | 'executable-comment'
  | 'symbol';

/** A token of a statement, including comments but not white space. */
export interface SqlToken {
  readonly kind: SqlTokenKind;
  readonly text: string;
}

/** Why a statement cannot be split into tokens. */
export type ScanError = {
  readonly kind: 'unterminated';
  readonly part: 'string' | 'name' | 'comment';
};

const WORD_PATTERN: readonly [SqlTokenKind, RegExp] = [
  'word',
  /[\p{L}\p{N}_$]+/uy,
];

const TOKEN_PATTERNS: ReadonlyArray<readonly [SqlTokenKind, RegExp]> = [
  ['executable-comment', /\/\*[!+M][\s\S]*?\*\//y],
  ['comment', /\/\*[\s\S]*?\*\//y],
  ['comment', /(?:--(?=[\s]|$)|#)[^\n]*/y],
  ['string', /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"/y],
  ['quoted-name', /`(?:[^`]|``)*`/y],
  ['system-variable', /@@[\w.$]+/y],
  ['user-variable', /@(?:[\w.$]+|'[^']*'|"[^"]*"|`[^`]*`)?/y],
  WORD_PATTERN,
];

/** The only pattern that matches at an ASCII letter or digit. */
const WORD_PATTERNS = [WORD_PATTERN];

/**
 * Symbols that start no other token. Their tokens are shared and found without
 * the patterns, as a statement within the limit may consist of a million.
 */
const SYMBOL_TOKENS: ReadonlyMap<string, SqlToken> = new Map(
  [...',()=<>+*;.!%&|^~?[]{}:'].map(text => [text, {kind: 'symbol', text}]),
);
const ASCII_WORD = /[A-Za-z0-9_$]/;

const OPENERS: ReadonlyArray<readonly [string, 'string' | 'name' | 'comment']> =
  [
    ["'", 'string'],
    ['"', 'string'],
    ['`', 'name'],
    ['/*', 'comment'],
  ];

/**
 * Splits a MySQL statement into tokens without interpreting it. The checks for
 * options and session state use tokens because a comment or a keyword inside a
 * string must not count.
 */
export function scanSql(sql: string): SqlToken[] | ScanError {
  const tokens: SqlToken[] = [];
  let index = 0;
  while (index < sql.length) {
    const token =
      SYMBOL_TOKENS.get(sql[index] as string) ?? tokenAt(sql, index);
    if (token) {
      tokens.push(token);
      index += token.text.length;
      continue;
    }
    const opener = OPENERS.find(([text]) => sql.startsWith(text, index));
    if (opener) return {kind: 'unterminated', part: opener[1]};
    const symbol = sql[index] as string;
    if (symbol.trim() !== '') tokens.push({kind: 'symbol', text: symbol});
    index += 1;
  }
  return tokens;
}

function tokenAt(sql: string, index: number): SqlToken | undefined {
  const patterns = ASCII_WORD.test(sql[index] as string)
    ? WORD_PATTERNS
    : TOKEN_PATTERNS;
  for (const [kind, pattern] of patterns) {
    pattern.lastIndex = index;
    const match = pattern.exec(sql);
    if (match) return {kind, text: match[0]};
  }
  return undefined;
}
