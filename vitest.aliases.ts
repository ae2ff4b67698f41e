import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/** The part of `tsconfig.json` that says where packages are found. */
interface TypeScriptConfig {
  readonly compilerOptions: {
    readonly paths: Readonly<Record<string, readonly [string]>>;
  };
}

const {compilerOptions} = JSON.parse(
  readFileSync(new URL('tsconfig.json', import.meta.url), 'utf8'),
) as TypeScriptConfig;

/**
 * The packages of this checkout, as `tsconfig.json` names them for the compiler
 * and the bundler. By way of `node_modules` they would be those of another
 * checkout if `node_modules` is a link to it.
 */
export const aliases = Object.entries(compilerOptions.paths).map(
  ([name, [file]]) => ({
    find: new RegExp(`^${name.replace('*', '([^/]+)')}$`),
    replacement: fileURLToPath(
      new URL(file.replace('*', '$1'), import.meta.url),
    ),
  }),
);
