/** The bound `thawSlackMs` of the rules. */
const THAW_SLACK_MS = 300;

/** The requests that members ran, by id, with what the client was told. */
function successes(deployment) {
  return new Map(
    deployment.requests
      .filter(({answer}) => answer.kind === 'success')
      .map(item => [item.id, item]),
  );
}

/**
 * ONE: writes that were committed at an old primary after a promotion had taken
 * effect, and acknowledged. Not counted: those whose sender was on a link that was
 * cut at any time from `thawSlackMs` before the client sent the write.
 */
export function checkOne(deployment, group) {
  const acknowledged = successes(deployment);
  const {commits, promotions} = group;
  const isExcused = ({at}, {address, sentAt}) => {
    const {name} = deployment.gateways.find(item => item.address === address);
    const from = sentAt - THAW_SLACK_MS;
    return deployment.network.wasDisturbed(name, from, at);
  };
  return commits.filter(commit => {
    const client = acknowledged.get(commit.request);
    const isOld = promotions.some(
      ({member, term, at}) =>
        member !== commit.member && term > commit.term && at < commit.at,
    );
    return client && isOld && !isExcused(commit, client);
  });
}

/**
 * STALE on routes of the kind `primary`: reads on a log that lacks a commit which
 * was acknowledged before the first byte of the read. Commits that a promotion
 * rolled back don't count.
 */
export function checkStale(deployment, group, database) {
  const acknowledged = successes(deployment);
  const {commits, reads} = group;
  const acknowledgedCommits = commits
    .filter(commit => acknowledged.has(commit.request) && !commit.isRolledBack)
    .map(commit => ({
      commit,
      at: acknowledged.get(commit.request).answeredAt,
    }));
  const found = [];
  for (const read of reads) {
    const client = acknowledged.get(read.request);
    if (client?.database !== database) continue;
    const held = new Set(read.log);
    const lacking = acknowledgedCommits.filter(
      ({commit, at}) => at < client.sentAt && !held.has(commit),
    );
    if (lacking.length > 0) found.push({read, client, lacking: lacking.length});
  }
  return found;
}
