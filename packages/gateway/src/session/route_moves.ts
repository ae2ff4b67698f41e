/** Reads can be too old for as long as replicas lag, which takes seconds. */
const LOGGED_AFTER_MOVE_MS = 10_000;

/** Whether the placement of a session's statements is logged. */
export type PlacementLog = 'on' | 'off';

/** A move of a session's route from one group to another. */
export interface RouteMove {
  readonly from: string;
  readonly to: string;
}

/** The groups to which the route of a session has led, and when they changed. */
export class RouteMoves {
  private group: string | undefined;
  private movedAt = -Infinity;

  /** Records the group of a statement; returns the move, if it was another one. */
  visit(group: string, now: number): RouteMove | undefined {
    const from = this.group;
    this.group = group;
    if (from === undefined || from === group) return undefined;
    this.movedAt = now;
    return {from, to: group};
  }

  /** Placements are logged for some time after a move. */
  placementLog(now: number): PlacementLog {
    return now - this.movedAt < LOGGED_AFTER_MOVE_MS ? 'on' : 'off';
  }
}
