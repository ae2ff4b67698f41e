import {Filter} from '../common/filter.js';
import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {Refusal} from './refusal.js';
import type {
  ParsedStatement,
  ReceivedStatement,
  StatementOptions,
} from './statement.js';
import {parseOptionsComment} from './statement_options.js';
import {
  CLASSIFYING_WORDS,
  classifyStatement,
  isDefinitionStatement,
} from './classify_statement.js';
import {summarizeStatement} from './statement_summary.js';
import type {StatementSummary} from './statement_summary.js';

/** Parses the options of a statement and classifies it. */
export class ParseOptionsFilter extends Filter<
  ReceivedStatement,
  ParsedStatement,
  Refusal
> {
  override readonly name = 'parse-options';

  override run(statement: ReceivedStatement): Result<ParsedStatement, Refusal> {
    const scanned = summarizeStatement(statement.sql, CLASSIFYING_WORDS);
    if (!scanned.ok) {
      return fail({
        kind: 'unsupported',
        detail: `the statement has an unterminated ${scanned.err.part}`,
      });
    }
    const summary = scanned.value;
    const options = readOptions(summary);
    if (!options.ok) {
      return fail({kind: 'malformed-options', detail: options.err});
    }
    if (
      options.value.requestId !== undefined &&
      isDefinitionStatement(summary)
    ) {
      return fail({
        kind: 'unsupported',
        detail:
          'a definition statement commits by itself and cannot carry a ' +
          'request id',
      });
    }
    const classified = classifyStatement(summary, statement.scope);
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

function readOptions({
  optionsComments,
}: StatementSummary): Result<StatementOptions, string> {
  if (optionsComments.length > 1) {
    return fail('options stand in more than one comment');
  }
  return parseOptionsComment(optionsComments[0] ?? '');
}
