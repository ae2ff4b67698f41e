import {createHash, timingSafeEqual} from 'node:crypto';

const SHA1_BYTES = 20;

/** Computes the verifier that a document stores for a key: SHA1(SHA1(key)). */
export function computeVerifier(key: string): string {
  return sha1(sha1(Buffer.from(key))).toString('hex');
}

/**
 * Checks the response to a mysql_native_password challenge. The client sends
 * SHA1(key) XOR SHA1(challenge + verifier), so it never sends the key itself.
 */
export function matchesVerifier(
  answer: Uint8Array,
  challenge: Uint8Array,
  verifier: string,
): boolean {
  const stored = Buffer.from(verifier, 'hex');
  if (answer.length !== SHA1_BYTES || stored.length !== SHA1_BYTES) {
    return false;
  }
  const mask = sha1(Buffer.concat([challenge, stored]));
  const candidate = mask.map((byte, index) => byte ^ (answer[index] as number));
  return timingSafeEqual(sha1(candidate), stored);
}

function sha1(data: Uint8Array): Buffer {
  return createHash('sha1').update(data).digest();
}
