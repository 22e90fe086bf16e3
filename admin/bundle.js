import {build} from 'esbuild';
import {rmSync} from 'node:fs';

/** Output directory; the deployment expects the program there. */
const outdir = 'target';

/** Defines `require`, which the bundled CommonJS packages call. */
const requireShim =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

rmSync(outdir, {recursive: true, force: true});
await build({
  entryPoints: ['packages/ryeworksd/src/bin/ryeworksd.ts'],
  outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  // Each command loads only the code that it needs.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  conditions: ['source'],
  banner: {js: requireShim},
  legalComments: 'none',
  // A smaller file parses faster at a restart; names stay for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
