import {spawn} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** Number of test files that run concurrently. */
const concurrency = 3;
/**
 * Tests that run one at a time after all others: they load a process to its limits,
 * which other tests on the same machine would distort.
 */
const exclusiveTests = ['hostileCallers'];
/** Number of output lines printed for each failed test point. */
const linesPerFailure = 25;

/** Finds the compiled test files of all packages. */
function findTests(folder) {
  const testFiles = [];
  for (const entry of readdirSync(folder, {withFileTypes: true})) {
    if (entry.name === 'node_modules' || entry.name === 'src') continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) testFiles.push(...findTests(path));
    else if (entry.name.endsWith('.test.js')) testFiles.push(path);
  }
  return testFiles;
}

/** Reads the names of the test files that are known to fail. */
function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const text = readFileSync('KNOWN-RED.txt', 'utf8');
  return [...text.matchAll(/^test: (\S+)/gm)].map(match => match[1]);
}

/** Returns the source path of a compiled test file. */
function getSource(compiled) {
  return compiled.replace('/dist/', '/src/').replace(/\.js$/, '.ts');
}

/** Prints each failed test point of a run and the lines after it. */
function printFailures(output) {
  const lines = output.split('\n');
  let remainingLines = 0;
  for (const line of lines) {
    if (/^ *not ok /.test(line)) remainingLines = linesPerFailure;
    if (remainingLines <= 0) continue;
    remainingLines -= 1;
    console.log(line);
  }
}

/** Runs a test file; returns its exit code and output. */
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

const knownFailures = readKnownFailures();
const pathFilters = process.argv.slice(2);
const tests = [...findTests('packages'), ...findTests('platform')]
  .filter(
    path =>
      pathFilters.length === 0 || pathFilters.some(text => path.includes(text)),
  )
  .sort();
const count = tests.length;

/** Returns whether a test must run alone. */
function isExclusive(path) {
  return exclusiveTests.some(name => path.endsWith(`/${name}.test.js`));
}

const exclusiveQueue = tests.filter(isExclusive);
const sharedQueue = tests.filter(path => !isExclusive(path));
let passed = 0;
let failed = 0;

/** Runs test files until a queue is empty. */
async function runQueue(queue) {
  for (;;) {
    const test = queue.shift();
    if (test === undefined) return;
    const source = getSource(test);
    const {code, output} = await runTest(test);
    const points = output.match(/^ *ok \d+ /gm)?.length ?? 0;
    if (code === 0) {
      passed += 1;
      console.log(`ok      ${source} (${points} points)`);
      continue;
    }
    const isKnownFailure = knownFailures.includes(source);
    console.log(`${isKnownFailure ? 'KNOWN RED' : 'not ok '} ${source}`);
    printFailures(output);
    if (!/^ *not ok /m.test(output)) console.log(output);
    if (!isKnownFailure) failed += 1;
  }
}

await Promise.all(
  Array.from({length: concurrency}, () => runQueue(sharedQueue)),
);
await runQueue(exclusiveQueue);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && count > 0 ? 0 : 1);
