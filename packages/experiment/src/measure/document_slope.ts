/** Measures how a document's size and parsing time grow with its databases. */
import {performance} from 'node:perf_hooks';
import {parseDocument} from '@pistachiorill/document';
import {
  AUTHORITY_PROFILE,
  databaseNames,
  memberName,
  renderDocument,
} from '@pistachiorill/launcher';
import {textTable} from '../report/text_table.js';

const DATABASE_COUNTS = [3, 65, 650];
const ROUNDS = 5;
const FIRST_PORT = 10_000;

const rows = DATABASE_COUNTS.map(databaseCount => {
  const profile = {...AUTHORITY_PROFILE, databaseCount};
  const servers = databaseNames(profile).flatMap(database =>
    profile.dataCentres.map(dataCentre => memberName(database, dataCentre)),
  );
  const addresses = new Map(
    servers.map((name, index) => [name, `10.0.0.1:${FIRST_PORT + index}`]),
  );
  const body = renderDocument(profile, addresses);
  const times = Array.from({length: ROUNDS}, () => parsingTimeMs(body)).sort(
    (a, b) => a - b,
  );
  return [
    String(databaseCount),
    (Buffer.byteLength(body) / 1_000).toFixed(1),
    (times[Math.floor(ROUNDS / 2)] as number).toFixed(1),
  ];
});
console.log(textTable([['databases', 'KB', 'ms to read'], ...rows]));

function parsingTimeMs(body: string): number {
  const start = performance.now();
  const parsed = parseDocument(body, 'production');
  if (!parsed.ok) throw new Error('the document is not valid');
  return performance.now() - start;
}
