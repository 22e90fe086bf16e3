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

/** Seeds tried for each mutation; one failure is enough. */
const seeds = 5;

/** Makes a copy of the compiled packages that a mutation may change. */
function createCopy() {
  const copy = mkdtempSync(join(tmpdir(), 'ryeworks-proofs-'));
  cpSync('packages', join(copy, 'packages'), {recursive: true});
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
  return copy;
}

/** Changes one file of a copy; the place must be found exactly once. */
function applyMutation(copy, {file, from, to}) {
  const path = join(copy, file);
  const text = readFileSync(path, 'utf8');
  const found = text.match(new RegExp(from, 'g'))?.length ?? 0;
  if (found !== 1) throw new Error(`${file}: ${from} found ${found} times`);
  writeFileSync(path, text.replace(from, to));
}

/** Runs a scenario in a copy; tells whether it failed, and at what. */
function runScenario(copy, scenario) {
  const program = join(copy, 'packages/ryeworks-lab/dist/bin/scenarios.js');
  const args = [program, scenario, '--seeds', `${seeds}`];
  const run = spawnSync(process.execPath, args, {encoding: 'utf8'});
  const missed = run.stdout.match(/line \d+: .*/g) ?? [];
  return {isFailed: run.status !== 0, missed};
}

/** Runs one test file in a copy; tells whether it failed, and at what. */
function runTest(copy, test) {
  const run = spawnSync(process.execPath, [join(copy, test)], {
    encoding: 'utf8',
  });
  const missed = run.stdout.match(/not ok \d+ - .*/g) ?? [];
  return {isFailed: run.status !== 0 && missed.length > 0, missed};
}

let weak = 0;
for (const mutation of proofMutations) {
  const copy = createCopy();
  try {
    applyMutation(copy, mutation);
    if (mutation.also !== undefined) applyMutation(copy, mutation.also);
    const {scenario, test} = mutation;
    const {isFailed, missed} =
      test === undefined ? runScenario(copy, scenario) : runTest(copy, test);
    if (!isFailed) weak += 1;
    const verdict = isFailed ? 'fails without' : 'NOT CAUGHT   ';
    console.log(`${verdict} ${scenario ?? test}: ${mutation.promise}`);
    if (missed.length > 0) console.log(`              ${missed[0]}`);
  } finally {
    rmSync(copy, {recursive: true, force: true});
  }
}
console.log(`${proofMutations.length - weak} passed, ${weak} failed`);
process.exit(weak === 0 ? 0 : 1);
