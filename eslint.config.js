import tseslint from 'typescript-eslint';
import {houseStyle} from './admin/eslintPlugin.js';

export default tseslint.config(
  {
    ignores: [
      'target/',
      'journal/',
      '**/dist/',
      '**/gen/',
      '**/node_modules/',
      'out/',
      '.tap/',
    ],
  },
  ...tseslint.configs.recommended,
  {
    plugins: {house: houseStyle},
    rules: {
      'prefer-const': 'error',
      'no-var': 'error',
      eqeqeq: ['error', 'always'],
      'one-var': ['error', 'never'],
      'default-case': 'off',
      'no-throw-literal': 'error',
      'max-lines': ['error', {max: 400, skipComments: true}],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object in place of an enum.',
        },
        {
          selector: "CallExpression[callee.property.name='forEach']",
          message: 'Use a for-of loop with early exits.',
        },
        {
          // Own packages and Node's modules are no CommonJS packages.
          selector:
            'VariableDeclarator[id.type="ObjectPattern"][init.type="AwaitExpression"]' +
            '[init.argument.type="ImportExpression"]' +
            ':not([init.argument.source.value=/^(node:|@ryeworks.|[.])/])' +
            ':not([id.properties.0.key.name="default"])',
          message:
            'Take the default export: a bundle provides no other one of a CommonJS package that is imported dynamically.',
        },
      ],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {'house/verb-first': 'error'},
  },
  {
    // Only the adapter knows what the users' platform calls its things.
    files: ['packages/*/src/**/*.ts'],
    rules: {'house/no-platform-names': 'error'},
  },
  {
    files: [
      'packages/ryeworks-{scheduler,types,utils,config,protocol}/src/**/*.ts',
      'packages/ryeworksd/src/**/*.ts',
      'packages/ryeworks-{dispatch,gateway}/src/**/*.ts',
      'platform/src/**/*.ts',
    ],
    ignores: ['packages/ryeworks-utils/src/clock.ts'],
    rules: {'house/no-ambient-input': 'error'},
  },
);
