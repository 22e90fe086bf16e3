import {build} from 'esbuild';
import {rmSync} from 'node:fs';

/** Where the deploy file looks for the program. */
const outdir = 'target';

/** CommonJS packages inside the bundle call `require`. */
const requireShim =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

rmSync(outdir, {recursive: true, force: true});
await build({
  entryPoints: ['packages/ryeworksd/src/bin/ryeworksd.ts'],
  outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  // A command loads its own part only.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  conditions: ['source'],
  banner: {js: requireShim},
  legalComments: 'none',
  // Less to parse at a restart; names stay for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
