import {Filter} from '../common/filter.js';
import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {Refusal} from './refusal.js';
import {scanSql} from './sql_scanner.js';
import type {SqlToken} from './sql_scanner.js';
import type {
  ParsedStatement,
  ReceivedStatement,
  StatementOptions,
} from './statement.js';
import {isOptionsComment, parseOptionsComment} from './statement_options.js';
import {
  classifyStatement,
  isDefinitionStatement,
} from './classify_statement.js';

/** Parses the options of a statement and classifies it. */
export class ParseOptionsFilter extends Filter<
  ReceivedStatement,
  ParsedStatement,
  Refusal
> {
  override readonly name = 'parse-options';

  override run(statement: ReceivedStatement): Result<ParsedStatement, Refusal> {
    const tokens = scanSql(statement.sql);
    if (!Array.isArray(tokens)) {
      return fail({
        kind: 'unsupported',
        detail: `the statement has an unterminated ${tokens.part}`,
      });
    }
    const options = readOptions(tokens);
    if (!options.ok) {
      return fail({kind: 'malformed-options', detail: options.err});
    }
    if (
      options.value.requestId !== undefined &&
      isDefinitionStatement(tokens)
    ) {
      return fail({
        kind: 'unsupported',
        detail:
          'a definition statement commits by itself and cannot carry a ' +
          'request id',
      });
    }
    const classified = classifyStatement(tokens, statement.scope);
    if (!classified.ok) {
      return fail({kind: 'unsupported', detail: classified.err});
    }
    if (
      options.value.requestId !== undefined &&
      !classified.value.changesData
    ) {
      return fail({
        kind: 'malformed-options',
        detail: 'a request id needs a statement that changes data',
      });
    }
    const {verb, changesData} = classified.value;
    // The spread comes last: with it first, adding the properties takes 10 us
    // instead of 1 us.
    return ok({options: options.value, verb, changesData, ...statement});
  }
}

function readOptions(
  tokens: readonly SqlToken[],
): Result<StatementOptions, string> {
  const bodies = tokens
    .filter(token => token.kind === 'comment' && token.text.startsWith('/*'))
    .map(token => token.text.slice(2, -2))
    .filter(isOptionsComment);
  if (bodies.length > 1) return fail('options stand in more than one comment');
  return parseOptionsComment(bodies[0] ?? '');
}
