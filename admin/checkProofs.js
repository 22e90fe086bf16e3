import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {proofMutations} from './proofMutations.js';

/** Number of seeds per mutation; one failing seed is enough to detect it. */
const seeds = 5;
/** Time limit of a test, in s: one that is too slow must not count as caught. */
const testTimeoutS = 600;

/** Creates a temporary copy of the compiled packages for one mutation. */
function createCopy() {
  const copy = mkdtempSync(join(tmpdir(), 'ryeworks-proofs-'));
  for (const folder of ['packages', 'platform']) {
    cpSync(folder, join(copy, folder), {recursive: true});
  }
  const modules = join(copy, 'node_modules');
  mkdirSync(join(modules, '@ryeworks'), {recursive: true});
  for (const entry of readdirSync('node_modules')) {
    if (entry === '@ryeworks' || entry.startsWith('ryeworks')) continue;
    symlinkSync(resolve('node_modules', entry), join(modules, entry));
  }
  for (const entry of readdirSync('node_modules/@ryeworks')) {
    const target = join(copy, 'packages', `ryeworks-${entry}`);
    symlinkSync(target, join(modules, '@ryeworks', entry));
  }
  for (const entry of ['ryeworks', 'ryeworksd']) {
    symlinkSync(join(copy, 'packages', entry), join(modules, entry));
  }
  // Tests of real processes start the bundle; that of the copy is the mutated code.
  mkdirSync(join(copy, 'target'));
  writeFileSync(
    join(copy, 'target/ryeworksd.mjs'),
    "import '../packages/ryeworksd/dist/bin/ryeworksd.js';\n",
  );
  return copy;
}

/** Applies a mutation to a copy; its pattern must match exactly once. */
function applyMutation(copy, {file, from, to}) {
  const path = join(copy, file);
  const text = readFileSync(path, 'utf8');
  const count = text.match(new RegExp(from, 'g'))?.length ?? 0;
  if (count !== 1) throw new Error(`${file}: ${from} matched ${count} times`);
  writeFileSync(path, text.replace(from, to));
}

/** Runs a scenario in a copy; returns whether it failed and the failures. */
function runScenario(copy, scenario) {
  const program = join(copy, 'packages/ryeworks-lab/dist/bin/scenarios.js');
  const args = [program, scenario, '--seeds', `${seeds}`];
  const run = spawnSync(process.execPath, args, {encoding: 'utf8'});
  const failures = run.stdout.match(/line \d+: .*/g) ?? [];
  return {isFailed: run.status !== 0, failures};
}

/** Runs a test file in a copy; returns whether it failed and the failures. */
function runTest(copy, test) {
  const run = spawnSync(process.execPath, [join(copy, test)], {
    env: {...process.env, TAP_TIMEOUT: `${testTimeoutS}`},
    encoding: 'utf8',
  });
  const failures = run.stdout.match(/not ok \d+ - .*/g) ?? [];
  return {isFailed: run.status !== 0 && failures.length > 0, failures};
}

// Each mutation must make its scenario or test fail; otherwise that scenario or
// test does not prove the promise.
const [wanted = ''] = process.argv.slice(2);
const selected = proofMutations.filter(({promise}) => promise.includes(wanted));
let uncaught = 0;
for (const mutation of selected) {
  const copy = createCopy();
  try {
    applyMutation(copy, mutation);
    if (mutation.also !== undefined) applyMutation(copy, mutation.also);
    const {scenario, test} = mutation;
    const {isFailed, failures} =
      test === undefined ? runScenario(copy, scenario) : runTest(copy, test);
    if (!isFailed) uncaught += 1;
    const verdict = isFailed ? 'caught    ' : 'NOT CAUGHT';
    console.log(`${verdict} ${scenario ?? test}: ${mutation.promise}`);
    if (failures.length > 0) console.log(`           ${failures[0]}`);
  } finally {
    rmSync(copy, {recursive: true, force: true});
  }
}
console.log(`${selected.length - uncaught} passed, ${uncaught} failed`);
process.exit(uncaught === 0 ? 0 : 1);
