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

/**
 * Receives a token of a statement: its kind, and the offsets of its first
 * character and of the one behind its last. Comments are tokens, white space is
 * not.
 */
export type TokenVisitor = (
  kind: SqlTokenKind,
  start: number,
  end: number,
) => void;

/** Why a statement cannot be split into tokens. */
export type ScanError = {
  readonly kind: 'unterminated';
  readonly part: 'string' | 'name' | 'comment';
};

const WORD = /[\p{L}\p{N}_$]+/uy;

const TOKEN_PATTERNS: ReadonlyArray<readonly [SqlTokenKind, RegExp]> = [
  ['executable-comment', /\/\*[!+M][\s\S]*?\*\//y],
  ['comment', /\/\*[\s\S]*?\*\//y],
  ['comment', /(?:--(?=[\s]|$)|#)[^\n]*/y],
  ['string', /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"/y],
  ['quoted-name', /`(?:[^`]|``)*`/y],
  ['system-variable', /@@[\w.$]+/y],
  ['user-variable', /@(?:[\w.$]+|'[^']*'|"[^"]*"|`[^`]*`)?/y],
  ['word', WORD],
];

const OPENERS: ReadonlyArray<readonly [string, 'string' | 'name' | 'comment']> =
  [
    ["'", 'string'],
    ['"', 'string'],
    ['`', 'name'],
    ['/*', 'comment'],
  ];

/** What a character is at the start of a token, as a number of a typed array. */
const PATTERN = 0;
const WORD_CHARACTER = 1;
const SYMBOL = 2;
const SPACE = 3;
/** Starts a comment if it is doubled before white space, else is a symbol. */
const DASH = 4;
/** Starts a comment if an asterisk follows, and is a symbol otherwise. */
const SLASH = 5;

const ASCII_CODES = 128;
const CHARACTER_CODES = 65_536;
/** By character code. `PATTERN` stands for one that several tokens start with. */
const CLASSES = classifyCharacters();

/**
 * Splits a MySQL statement into tokens without interpreting it. The checks for
 * options and session state use tokens because a comment or a keyword inside a
 * string must not count. No token is created: a statement within the limit may
 * consist of a million.
 */
export function visitTokens(
  sql: string,
  visit: TokenVisitor,
): ScanError | undefined {
  let index = 0;
  while (index < sql.length) {
    const start = index;
    switch (classAt(sql, start)) {
      case SPACE:
        index += 1;
        break;
      case SYMBOL:
        index += 1;
        visit('symbol', start, index);
        break;
      case WORD_CHARACTER:
        index = endOfWord(sql, start);
        visit('word', start, index);
        break;
      default: {
        const end = visitPattern(sql, start, visit);
        if (typeof end !== 'number') return end;
        index = end;
      }
    }
  }
  return undefined;
}

/** Returns the class of a character, with the one behind it where that counts. */
function classAt(sql: string, index: number): number {
  const found = CLASSES[sql.charCodeAt(index)];
  switch (found) {
    case DASH:
      return sql[index + 1] === '-' && mayBeSpace(sql, index + 2)
        ? PATTERN
        : SYMBOL;
    case SLASH:
      return sql[index + 1] === '*' ? PATTERN : SYMBOL;
    default:
      return found ?? PATTERN;
  }
}

/** Whether a character is white space, beyond ASCII or behind the end. */
function mayBeSpace(sql: string, index: number): boolean {
  const code = sql.charCodeAt(index);
  return !(code < ASCII_CODES) || CLASSES[code] === SPACE;
}

/** Visits a token that needs the patterns; returns the offset of its end. */
function visitPattern(
  sql: string,
  start: number,
  visit: TokenVisitor,
): number | ScanError {
  for (const [kind, pattern] of TOKEN_PATTERNS) {
    pattern.lastIndex = start;
    if (!pattern.test(sql)) continue;
    visit(kind, start, pattern.lastIndex);
    return pattern.lastIndex;
  }
  const opener = OPENERS.find(([text]) => sql.startsWith(text, start));
  if (opener) return {kind: 'unterminated', part: opener[1]};
  const end = start + 1;
  if (sql.slice(start, end).trim() !== '') visit('symbol', start, end);
  return end;
}

/** Returns the offset behind a word that starts with an ASCII character. */
function endOfWord(sql: string, start: number): number {
  let end = start + 1;
  while (end < sql.length && CLASSES[sql.charCodeAt(end)] === WORD_CHARACTER) {
    end += 1;
  }
  if (end === sql.length || sql.charCodeAt(end) < ASCII_CODES) return end;
  // The word may go on with a character beyond ASCII.
  WORD.lastIndex = start;
  WORD.test(sql);
  return WORD.lastIndex;
}

function classifyCharacters(): Uint8Array {
  const classes = new Uint8Array(CHARACTER_CODES).fill(SYMBOL, 0, ASCII_CODES);
  const mark = (characters: string, value: number): void => {
    for (const character of characters) {
      classes[character.charCodeAt(0)] = value;
    }
  };
  mark('abcdefghijklmnopqrstuvwxyz', WORD_CHARACTER);
  mark('ABCDEFGHIJKLMNOPQRSTUVWXYZ', WORD_CHARACTER);
  mark('0123456789_$', WORD_CHARACTER);
  mark(' \t\n\v\f\r', SPACE);
  mark('-', DASH);
  mark('/', SLASH);
  mark('\'"`@#', PATTERN);
  return classes;
}
