/** The bundler replaces the name by a digest of the program. */
declare const PISTACHIORILL_BUILD_ID: string | undefined;

/** Equal in all processes that run the same program; `unbundled` in tests. */
export const BUILD_ID =
  typeof PISTACHIORILL_BUILD_ID === 'string'
    ? PISTACHIORILL_BUILD_ID
    : 'unbundled';
