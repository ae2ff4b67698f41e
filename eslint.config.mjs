import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/** Rules of the Google TypeScript Style Guide that a linter can check. */
const googleStyle = {
  '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
  '@typescript-eslint/consistent-type-assertions': [
    'error',
    {assertionStyle: 'as'},
  ],
  '@typescript-eslint/consistent-type-imports': [
    'error',
    {fixStyle: 'separate-type-imports'},
  ],
  '@typescript-eslint/explicit-member-accessibility': [
    'error',
    {accessibility: 'no-public', overrides: {parameterProperties: 'off'}},
  ],
  '@typescript-eslint/naming-convention': [
    'error',
    {selector: 'typeLike', format: ['PascalCase']},
    {selector: 'function', format: ['camelCase']},
    {selector: 'method', format: ['camelCase']},
  ],
  '@typescript-eslint/no-unused-vars': [
    'error',
    {argsIgnorePattern: '^unused'},
  ],
  curly: ['error', 'multi-line'],
  eqeqeq: ['error', 'always', {null: 'ignore'}],
  'no-restricted-syntax': [
    'error',
    {
      selector: 'TSEnumDeclaration',
      message: 'Use a union of string literals in place of an enum.',
    },
    {
      selector: 'ExportDefaultDeclaration',
      message: 'Use named exports.',
    },
  ],
  'no-var': 'error',
  'prefer-const': 'error',
};

export default tseslint.config(
  {ignores: ['build/', 'target/', '**/node_modules/', '**/__snapshots__/']},
  ...tseslint.configs.recommended,
  prettier,
  {files: ['packages/**/*.ts', 'platform/**/*.ts'], rules: googleStyle},
);
