import {announce} from './procedures/announce.js';
import {begin} from './procedures/begin.js';
import {commit} from './procedures/commit.js';
import {configuration} from './procedures/configuration.js';
import {executeIn} from './procedures/execute_in.js';
import {forward} from './procedures/forward.js';
import {keepAlive} from './procedures/keep_alive.js';
import {ledger} from './procedures/ledger.js';
import {loan} from './procedures/loan.js';
import {probe} from './procedures/probe.js';
import {probeIndirect} from './procedures/probe_indirect.js';
import {t} from './procedures/procedure.js';
import {report} from './procedures/report.js';
import {rollback} from './procedures/rollback.js';
import {status} from './procedures/status.js';

/** All procedures that VMs call on each other. */
export const PEER_ROUTER = t.router({
  probe,
  probeIndirect,
  configuration,
  announce,
  ledger,
  loan,
  report,
  forward,
  begin,
  executeIn,
  commit,
  rollback,
  keepAlive,
  status,
});

/** The type of `PEER_ROUTER`, from which the client derives its calls. */
export type PeerRouter = typeof PEER_ROUTER;
