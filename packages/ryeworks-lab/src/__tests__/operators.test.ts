import t from 'tap';
import {exitCodes} from 'ryeworks';
import {writeFile} from 'node:fs/promises';
import {Deployment} from '../deployment/deployment.js';
import {desatorosPlan} from '../deployment/deploymentPlan.js';
import {runCli} from '../deployment/runCli.js';
import {waitUntil} from '../deployment/waitUntil.js';
import {runLoad} from '../load/runLoad.js';

const seed = 5;
const plan = {...desatorosPlan, availabilityZones: ['lima-1', 'lima-2']};
const deployment = await Deployment.start(plan, {
  hasPlatformProxy: true,
  scheduler: {observeMs: 1000},
});
t.teardown(() => deployment.stop());
const directory = t.testdir();
const platformControlUrl = deployment.controlUrls.get('platform-control')!;

/** Reads the version of a document that each VM has applied. */
async function readVersions(name: string): Promise<number[]> {
  const statuses = await Promise.all(
    deployment.vms.map(vm => deployment.readStatus(vm)),
  );
  return statuses.map(status => status.documents[name]);
}

/**
 * Reads the list of plans with the command line, changes the first request limit
 * and saves the list to a file.
 */
async function editPlans(file: string, requestsPerSecond: number) {
  const {stdout} = await runCli(deployment, ['plans', 'get']);
  const pattern = /"requestsPerSecond": \d+/;
  const text = stdout.replace(
    pattern,
    `"requestsPerSecond": ${requestsPerSecond}`,
  );
  await writeFile(file, text);
}

t.test('a change is applied on every VM', async t => {
  const file = `${directory}/plans.jsonc`;
  await editPlans(file, 3001);
  const applied = await runCli(deployment, ['--json', 'plans', 'apply', file]);
  t.equal(applied.exitCode, exitCodes.ok, applied.stderr);
  const {version} = JSON.parse(applied.stdout) as {version: number};
  await waitUntil('the change is applied', async () =>
    (await readVersions('plans')).every(vmVersion => vmVersion === version),
  );
});

t.test(
  'of two concurrent updates one succeeds, the other reports the conflict',
  async t => {
    const files = [`${directory}/a.jsonc`, `${directory}/b.jsonc`];
    await editPlans(files[0], 4001);
    await editPlans(files[1], 4002);
    const results = await Promise.all(
      files.map(file => runCli(deployment, ['plans', 'apply', file])),
    );
    const codes = results.map(result => result.exitCode).sort();
    t.strictSame(codes, [exitCodes.ok, exitCodes.conflict]);
    const refused = results.find(
      result => result.exitCode === exitCodes.conflict,
    )!;
    t.match(refused.stderr, /requestsPerSecond: 400\d -> 400\d/);
  },
);

t.test('a lost answer is resolved by reading the list back', async t => {
  const file = `${directory}/lost.jsonc`;
  await editPlans(file, 5001);
  await deployment.setFaults(platformControlUrl, {loseAnswers: 1});
  const applied = await runCli(deployment, ['plans', 'apply', file]);
  t.equal(applied.exitCode, exitCodes.ok, applied.stderr);
});

t.test('an invalid list is refused with the position of the error', async t => {
  const file = `${directory}/bad.jsonc`;
  await writeFile(file, '// version: 1\n{"plans": [], "customer": []}');
  const applied = await runCli(deployment, ['plans', 'apply', file]);
  t.equal(applied.exitCode, exitCodes.invalidContent);
  t.match(applied.stderr, /bad\.jsonc:2:\d+: "customer" is not a known key/);
});

t.test('VMs ignore an invalid list and keep the last valid one', async t => {
  const before = await readVersions('plans');
  await deployment.platform.putObject('config', 'plans', {plans: 7}, undefined);
  const config = await deployment.platform.listObjects('config');
  const {version} = config.items.find(item => item.name === 'allowances')!;
  const allowances = await deployment.platform.getObject(
    'config',
    'allowances',
  );
  await deployment.platform.putObject(
    'config',
    'allowances',
    allowances!.value,
    version,
  );
  await waitUntil('the valid list is applied', async () =>
    (await readVersions('allowances')).every(vmVersion => vmVersion > version),
  );
  t.strictSame(await readVersions('plans'), before);
});

t.test('VMs keep serving while the platform is down', async t => {
  await deployment.setFaults(platformControlUrl, {isDown: true});
  const before = await readVersions('allowances');
  const results = await runLoad({
    plan,
    listUrls: () => deployment.vms.map(vm => vm.callerUrl),
    callsPerSecond: 20,
    durationMs: 1500,
    seed,
  });
  t.ok(
    results.every(result => result.isComplete),
    `all answers complete, seed ${seed}`,
  );
  const refused = await runCli(deployment, ['plans', 'get']);
  t.equal(refused.exitCode, exitCodes.platformUnreachable);
  await deployment.setFaults(platformControlUrl, {isDown: false});
  t.strictSame(await readVersions('allowances'), before);
});

t.test('a bad version is withdrawn and the output says why', async t => {
  await deployment.startEndpoints('v2', [1, 2]);
  for (const [name, url] of deployment.directUrls) {
    if (name.includes('-v2-')) await deployment.setFaults(url, {failRate: 0.8});
  }
  const service = plan.modelService.service;
  const args = ['moves', 'start', '--service', service];
  args.push('--to', 'v2', '--deadline', '+30s', '--json');
  const started = await runCli(deployment, args);
  t.equal(started.exitCode, exitCodes.ok, started.stderr);
  const {move} = JSON.parse(started.stdout) as {move: string};
  const second = await runCli(deployment, args);
  t.equal(second.exitCode, exitCodes.conflict, 'one move at a time');
  const load = runLoad({
    plan,
    listUrls: () => deployment.vms.map(vm => vm.callerUrl),
    callsPerSecond: 80,
    // Past the deadline of the move: without calls, nothing would end it.
    durationMs: 35_000,
    seed,
  });
  const watched = await runCli(deployment, ['moves', 'watch', move]);
  t.equal(watched.exitCode, exitCodes.failed, watched.stdout);
  t.match(watched.stdout, /withdrawn .*failures on POST .*seen in lima-/);
  await load;
});

t.test('the status command lists every VM', async t => {
  await waitUntil('every zone has written its status', async () => {
    const {items} = await deployment.platform.listObjects('status');
    return items.length === plan.availabilityZones.length;
  });
  const {stdout} = await runCli(deployment, ['status']);
  for (const {name} of deployment.vms) t.match(stdout, name);
});
