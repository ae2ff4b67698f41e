import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import {isOptionsComment} from './statement_options.js';
import {visitTokens} from './sql_scanner.js';
import type {ScanError, SqlTokenKind} from './sql_scanner.js';

/** No statement that is recognised as a whole has more tokens. */
const MAX_HEAD_TOKENS = 4;

/** More than one comment with options is an error, however many there are. */
const MAX_OPTIONS_COMMENTS = 2;
const SEMICOLON = ';'.charCodeAt(0);
const OPENING_BRACKET = '('.charCodeAt(0);

/** The words whose occurrence anywhere in a statement is recorded. */
export interface TrackedWords {
  readonly keywords: ReadonlySet<string>;
  /** Names that count if an opening bracket follows. */
  readonly functions: ReadonlySet<string>;
}

/** What the checks need to know of a statement, besides its text. */
export interface StatementSummary {
  /** The first tokens in upper case, without comments. */
  readonly head: readonly string[];
  /** Whether `head` holds all tokens, up to semicolons at the end. */
  readonly extent: 'within-head' | 'beyond-head';
  /** The bodies of the first comments that hold options, two at most. */
  readonly optionsComments: readonly string[];
  /** The tracked keywords and called functions, in order of occurrence. */
  readonly keywords: ReadonlySet<string>;
  readonly functions: ReadonlySet<string>;
  readonly statements: 'one' | 'several';
  readonly executableComments: 'none' | 'some';
  readonly userVariables: 'none' | 'some';
}

/** Reads a statement once from start to end. */
export function summarizeStatement(
  sql: string,
  tracked: TrackedWords,
): Result<StatementSummary, ScanError> {
  const summarizer = new StatementSummarizer(sql, tracked);
  const err = visitTokens(sql, (kind, start, end) =>
    summarizer.add(kind, start, end),
  );
  return err ? fail(err) : ok(summarizer.summary());
}

/** Builds a summary token by token, in memory that does not grow with them. */
class StatementSummarizer {
  private readonly head: string[] = [];
  private extent: StatementSummary['extent'] = 'within-head';
  private readonly optionsComments: string[] = [];
  private readonly keywords = new Set<string>();
  private readonly functions = new Set<string>();
  private statements: StatementSummary['statements'] = 'one';
  private executableComments: StatementSummary['executableComments'] = 'none';
  private userVariables: StatementSummary['userVariables'] = 'none';
  private semicolons: 'none' | 'some' = 'none';
  /** The word before the present token if it is a tracked function. */
  private functionName: string | undefined;
  private readonly minLength: number;
  private readonly maxLength: number;

  constructor(
    private readonly sql: string,
    private readonly tracked: TrackedWords,
  ) {
    const words = [...tracked.keywords, ...tracked.functions];
    const lengths = words.map(word => word.length);
    this.minLength = Math.min(...lengths);
    this.maxLength = Math.max(...lengths);
  }

  add(kind: SqlTokenKind, start: number, end: number): void {
    if (kind === 'comment') {
      this.addComment(start, end);
      return;
    }
    const code = kind === 'symbol' ? this.sql.charCodeAt(start) : undefined;
    if (code === SEMICOLON) {
      this.semicolons = 'some';
      return;
    }
    if (this.semicolons === 'some') this.statements = 'several';
    if (this.head.length < MAX_HEAD_TOKENS) {
      this.head.push(this.sql.slice(start, end).toUpperCase());
    } else {
      this.extent = 'beyond-head';
    }
    if (code === OPENING_BRACKET && this.functionName !== undefined) {
      this.functions.add(this.functionName);
    }
    this.functionName = undefined;
    if (kind === 'word') this.addWord(start, end);
    if (kind === 'executable-comment') this.executableComments = 'some';
    if (kind === 'user-variable') this.userVariables = 'some';
  }

  summary(): StatementSummary {
    const {head, extent, optionsComments, keywords, functions} = this;
    const {statements, executableComments, userVariables} = this;
    return {
      ...{head, extent, optionsComments, keywords, functions},
      ...{statements, executableComments, userVariables},
    };
  }

  private addComment(start: number, end: number): void {
    if (this.optionsComments.length >= MAX_OPTIONS_COMMENTS) return;
    if (!this.sql.startsWith('/*', start)) return;
    const body = this.sql.slice(start + 2, end - 2);
    if (isOptionsComment(body)) this.optionsComments.push(body);
  }

  private addWord(start: number, end: number): void {
    const length = end - start;
    if (length < this.minLength || length > this.maxLength) return;
    const word = this.sql.slice(start, end).toUpperCase();
    if (this.tracked.keywords.has(word)) this.keywords.add(word);
    if (this.tracked.functions.has(word)) this.functionName = word;
  }
}
