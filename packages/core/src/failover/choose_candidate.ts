import {compareLogPosition} from '../session/log_position.js';
import type {Attempt} from './attempt.js';

/**
 * Returns the fenced member with the highest log position. Every acknowledged
 * write is held by some member of any fenced majority, so this member holds
 * all of them; any other one might lack some.
 *
 * Among members with equal logs, one that may be primary comes first, then one
 * that answered the last poll, then the former primary. A primary that does not
 * answer polls would be suspected again.
 */
export function chooseCandidate(attempt: Attempt): string | undefined {
  const {fenced, members, formerPrimary, reachable} = attempt;
  const preference = (name: string): number => {
    const member = members.find(item => item.backendServer === name);
    return (
      (member?.eligibility === 'allowed' ? 4 : 0) +
      (reachable.includes(name) ? 2 : 0) +
      (name === formerPrimary ? 1 : 0)
    );
  };
  const [best] = Object.entries(fenced).sort(
    ([nameA, positionA], [nameB, positionB]) =>
      compareLogPosition(positionB, positionA) ||
      preference(nameB) - preference(nameA) ||
      (nameA < nameB ? -1 : 1),
  );
  return best?.[0];
}
