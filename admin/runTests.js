import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** Finds the compiled test files of all packages. */
function findTests(folder) {
  const found = [];
  for (const entry of readdirSync(folder, {withFileTypes: true})) {
    if (entry.name === 'node_modules' || entry.name === 'src') continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) found.push(...findTests(path));
    else if (entry.name.endsWith('.test.js')) found.push(path);
  }
  return found;
}

/** Reads the test files that are known to fail. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const text = readFileSync('KNOWN-RED.txt', 'utf8');
  return [...text.matchAll(/^test: (\S+)/gm)].map(match => match[1]);
}

/** Names the source of a compiled test file. */
function getSource(compiled) {
  return compiled.replace('/dist/', '/src/').replace(/\.js$/, '.ts');
}

const knownRed = readKnownRed();
const wanted = process.argv.slice(2);
const tests = findTests('packages')
  .filter(path => wanted.length === 0 || wanted.some(one => path.includes(one)))
  .sort();
let passed = 0;
let failed = 0;
for (const test of tests) {
  const source = getSource(test);
  const startedMs = Date.now();
  const run = spawnSync(process.execPath, [test], {
    encoding: 'utf8',
    env: {...process.env, TAP_DIAG: '1'},
  });
  const seconds = ((Date.now() - startedMs) / 1000).toFixed(1);
  const points = run.stdout.match(/^ok |^ {4}ok /gm)?.length ?? 0;
  if (run.status === 0) {
    passed += 1;
    console.log(`ok      ${source} (${points} points, ${seconds} s)`);
    continue;
  }
  const isKnown = knownRed.includes(source);
  console.log(`${isKnown ? 'KNOWN RED' : 'not ok '} ${source} (${seconds} s)`);
  console.log(run.stdout);
  console.log(run.stderr);
  if (!isKnown) failed += 1;
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && tests.length > 0 ? 0 : 1);
