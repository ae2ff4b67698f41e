import {fail, ok} from '@pistachiorill/core';
import type {Caller, Configuration, Refusal, Result} from '@pistachiorill/core';
import {matchesVerifier} from '@pistachiorill/mysql';
import type {HandshakeRequest} from '@pistachiorill/mysql';

/**
 * Authenticates a handshake against the keys of the workspace that it names. A
 * handshake without a password yields an anonymous caller, who may use open
 * routes only.
 */
export function authenticateCaller(
  req: HandshakeRequest,
  configuration: Configuration,
): Result<Caller, Refusal> {
  if (req.answer.length === 0) return ok({kind: 'anonymous'});
  const workspace = configuration.workspaces.find(
    item => item.name === req.user,
  );
  const key = workspace?.keys.find(item =>
    matchesVerifier(req.answer, req.challenge, item.verifier),
  );
  if (!workspace || !key) {
    return fail({kind: 'bad-key', detail: 'unknown workspace or key'});
  }
  return ok({kind: 'keyed', workspace: workspace.name, keyId: key.id});
}
