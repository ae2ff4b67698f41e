import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {z} from 'zod';
import type {HttpResponse} from './http_request.js';
import type {PlatformError} from './platform_error.js';

/**
 * Decodes a response body. `kind` is the error for an unreadable one:
 * `unavailable` for a read, `unknown-outcome` for a write.
 */
export function decodeResponse<T>(
  schema: z.ZodType<T>,
  {body, status}: HttpResponse,
  kind: 'unavailable' | 'unknown-outcome',
): Result<T, PlatformError> {
  const detail = `unreadable response with HTTP status ${status}`;
  try {
    const parsed = schema.safeParse(JSON.parse(body));
    return parsed.success ? ok(parsed.data) : fail({kind, detail});
  } catch {
    // The body is not JSON.
    return fail({kind, detail});
  }
}
