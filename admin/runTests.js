import {spawn} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** Test files that run at the same time. */
const concurrency = 3;
/** Lines shown for each failed test point. */
const linesPerFailure = 25;

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

/** Prints the failed points of a run and what follows each. */
function printFailures(output) {
  const lines = output.split('\n');
  let left = 0;
  for (const line of lines) {
    if (/^ *not ok /.test(line)) left = linesPerFailure;
    if (left <= 0) continue;
    left -= 1;
    console.log(line);
  }
}

/** Runs one test file to its end. */
function runTest(path) {
  return new Promise(resolve => {
    const env = {...process.env, TAP_TIMEOUT: '600'};
    const child = spawn(process.execPath, [path], {env});
    let output = '';
    child.stdout.on('data', chunk => (output += chunk));
    child.stderr.on('data', chunk => (output += chunk));
    child.on('close', code => resolve({code, output}));
  });
}

const knownRed = readKnownRed();
const wanted = process.argv.slice(2);
const tests = [...findTests('packages'), ...findTests('platform')]
  .filter(path => wanted.length === 0 || wanted.some(one => path.includes(one)))
  .sort();
const count = tests.length;
let passed = 0;
let failed = 0;

/** Runs test files until none is left. */
async function runQueue() {
  for (;;) {
    const test = tests.shift();
    if (test === undefined) return;
    const source = getSource(test);
    const {code, output} = await runTest(test);
    const points = output.match(/^ *ok \d+ /gm)?.length ?? 0;
    if (code === 0) {
      passed += 1;
      console.log(`ok      ${source} (${points} points)`);
      continue;
    }
    const isKnown = knownRed.includes(source);
    console.log(`${isKnown ? 'KNOWN RED' : 'not ok '} ${source}`);
    printFailures(output);
    if (!/^ *not ok /m.test(output)) console.log(output);
    if (!isKnown) failed += 1;
  }
}

await Promise.all(Array.from({length: concurrency}, runQueue));
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && count > 0 ? 0 : 1);
