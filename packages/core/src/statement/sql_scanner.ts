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

const TOKEN_PATTERNS: ReadonlyArray<readonly [SqlTokenKind, RegExp]> = [
  ['executable-comment', /\/\*[!+M][\s\S]*?\*\//y],
  ['comment', /\/\*[\s\S]*?\*\//y],
  ['comment', /(?:--(?=[\s]|$)|#)[^\n]*/y],
  ['string', /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"/y],
  ['quoted-name', /`(?:[^`]|``)*`/y],
  ['system-variable', /@@[\w.$]+/y],
  ['user-variable', /@(?:[\w.$]+|'[^']*'|"[^"]*"|`[^`]*`)?/y],
  ['word', /[\p{L}\p{N}_$]+/uy],
];

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
    const token = tokenAt(sql, index);
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
  for (const [kind, pattern] of TOKEN_PATTERNS) {
    pattern.lastIndex = index;
    const match = pattern.exec(sql);
    if (match) return {kind, text: match[0]};
  }
  return undefined;
}
