import type {LogPosition} from '@pistachiorill/core';
import {RouteMoves} from './route_moves.js';
import type {SessionDependencies} from './session_message.js';
import {SessionPositions} from './session_positions.js';
import {recordRouteMove} from './session_records.js';
import type {ReceivedStatement} from './session_statement.js';

/** What a session has done so far, as far as its next statement depends on it. */
export class SessionHistory {
  private readonly positions = new SessionPositions();
  private readonly moves = new RouteMoves();

  constructor(
    private readonly deps: SessionDependencies,
    private readonly database: () => string,
  ) {}

  /** Records an acknowledged commit, as `SessionPositions` does. */
  committed(group: string, position: LogPosition | undefined): void {
    this.positions.committed(group, position);
  }

  /**
   * Returns what the next statement depends on, and logs it if its route leads
   * to another group than that of the statement before.
   */
  next(
    request: string,
    now: number,
  ): Pick<ReceivedStatement, 'configuration' | 'positions' | 'placementLog'> {
    const {deps, moves, positions} = this;
    const database = this.database();
    const configuration = deps.configuration();
    const route = configuration?.routes.get(database);
    const move = route && moves.visit(route.group, now);
    if (move) {
      const own = positions.of(move.to);
      recordRouteMove(deps, request, database, move, own);
    }
    const placementLog = moves.placementLog(now);
    return {configuration, positions, placementLog};
  }
}
