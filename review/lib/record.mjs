import {writeFileSync} from 'node:fs';

const time = ms => (ms / 1_000).toFixed(3).padStart(8);

/** Writes what was sent, answered and run, and the verdict. */
export function writeRecord(path, deployment, verdict) {
  const {events, requests, groups} = deployment;
  const commits = groups.flatMap(group => group.commits);
  const reads = groups.flatMap(group => group.reads);
  const promotions = groups.flatMap(group => group.promotions);
  const tenants = new Map(
    groups
      .flatMap(group => group.runs)
      .map(({request, tenant}) => [request, tenant]),
  );
  const runs = new Map();
  for (const {request, member, at, term, number} of commits) {
    runs.set(
      request,
      `committed ${time(at)} at ${member} as ${term}.${number}`,
    );
  }
  for (const {request, member, at} of reads) {
    const ran = `read ${time(at)} at ${member}`;
    runs.set(request, [runs.get(request), ran].filter(Boolean).join('; '));
  }
  const lines = [
    ...events.map(({at, text}) => ({at, line: `${time(at)} ${text}`})),
    ...promotions.map(({at, member, term}) => ({
      at,
      line: `${time(at)} ${member} leads term ${term}`,
    })),
    ...requests.map(({id, database, text, sentAt, answeredAt, answer}) => ({
      at: sentAt,
      line: `${time(sentAt)} ${id} ${database} ${text} | answered ${time(answeredAt)} ${answer.kind} ${answer.rows?.join(',') || answer.code || ''} | ${runs.get(id) ?? (tenants.has(id) ? 'run' : 'not run')} ${tenants.get(id) ? `for ${tenants.get(id)}` : ''}`,
    })),
  ].sort((a, b) => a.at - b.at);
  const text = [...verdict, '', ...lines.map(item => item.line), ''].join('\n');
  writeFileSync(path, text);
}
