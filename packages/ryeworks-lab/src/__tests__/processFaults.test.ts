import t, {Test} from 'tap';
import {Deployment, DeploymentOptions} from '../deployment/deployment.js';
import {
  aerolithPlan,
  DeploymentPlan,
  desatorosPlan,
} from '../deployment/deploymentPlan.js';
import {waitUntil} from '../deployment/waitUntil.js';
import {createCall, makeCall} from '../load/makeCall.js';
import {RetriedCall, runRetryingLoad} from '../load/runRetryingLoad.js';
import {findBrokenPromises} from '../report/findBrokenPromises.js';

const seed = 11;
const plan: DeploymentPlan = {
  ...desatorosPlan,
  availabilityZones: ['lima-1', 'lima-2'],
};

/** Starts a deployment that ends with the test. */
async function startDeployment(
  t: Test,
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const deployment = await Deployment.start(plan, options);
  t.teardown(() => deployment.stop());
  return deployment;
}

/** Runs a load while something happens; returns all attempts of all calls. */
async function runLoadWithFault(
  deployment: Deployment,
  applyFault: () => Promise<void>,
): Promise<RetriedCall[]> {
  const load = runRetryingLoad({
    plan: deployment.plan,
    listUrls: () => deployment.vms.map(vm => vm.callerUrl),
    callsPerSecond: 60,
    durationMs: 6000,
    seed,
  });
  await new Promise(resolve => setTimeout(resolve, 2000));
  await applyFault();
  return load;
}

/** Checks the promises on all attempts of all calls. */
async function checkPromises(
  t: Test,
  deployment: Deployment,
  calls: readonly RetriedCall[],
): Promise<void> {
  const runs = await deployment.readRuns();
  const last = calls.map(one => one.attempts[one.attempts.length - 1]);
  t.strictSame(findBrokenPromises(last, runs), [], `seed ${seed}`);
  const crossed = calls
    .flatMap(one => one.attempts)
    .filter(one => one.hasForeignContent);
  t.equal(crossed.length, 0, 'no crossed answer');
}

t.test('a VM killed under load: no call runs twice', async t => {
  const deployment = await startDeployment(t);
  const calls = await runLoadWithFault(deployment, async () => {
    const [killed] = deployment.vms.splice(0, 1);
    deployment.processes.signal(killed.name, 'SIGKILL');
  });
  await checkPromises(t, deployment, calls);
  const whole = calls.filter(one => one.attempts.some(two => two.isComplete));
  t.ok(whole.length > calls.length * 0.9, `${whole.length}/${calls.length}`);
});

t.test('a VM frozen past its ownership: no call runs twice', async t => {
  const deployment = await startDeployment(t);
  const [frozen] = deployment.vms;
  const calls = await runLoadWithFault(deployment, async () => {
    deployment.processes.signal(frozen.name, 'SIGSTOP');
    await new Promise(resolve => setTimeout(resolve, 3500));
    deployment.processes.signal(frozen.name, 'SIGCONT');
  });
  await checkPromises(t, deployment, calls);
});

t.test('a planned stop under load cuts no answer', async t => {
  const deployment = await startDeployment(t);
  const [leaving] = deployment.vms;
  let exitCode: number | null = null;
  const calls = await runLoadWithFault(deployment, async () => {
    deployment.processes.signal(leaving.name, 'SIGTERM');
    exitCode = await deployment.processes.waitForExit(leaving.name);
    deployment.vms.splice(0, 1);
  });
  await checkPromises(t, deployment, calls);
  t.equal(exitCode, 0, 'the process ends by itself');
  const cut = calls
    .flatMap(one => one.attempts)
    .filter(one => one.error === 'truncated' || one.ran === 'unknown');
  t.strictSame(
    cut.map(one => one.error),
    [],
    'no answer was cut',
  );
});

t.test('open connections to engines go silent: streams resume', async t => {
  const deployment = await startDeployment(t, {hasEngineProxies: true});
  const calls = await runLoadWithFault(deployment, async () => {
    for (const url of deployment.controlUrls.values()) {
      if (url === deployment.platformUrl) continue;
      await deployment.setFaults(url, {silenceOpen: true});
    }
  });
  await checkPromises(t, deployment, calls);
  const runs = await deployment.readRuns();
  for (const {call, attempts} of calls) {
    const last = attempts[attempts.length - 1];
    const isKeyed = call.key !== '';
    const hasRun = (runs.get(`key:${call.key}`) ?? runs.get(call.key)) === 1;
    const isUnknown = last.ran === 'unknown' && isKeyed && !hasRun;
    const name = `${call.kind.name} ${last.error} ${last.ran}`;
    t.ok(
      last.isComplete || isUnknown,
      `whole, or its sending was lost: ${name}`,
    );
  }
});

t.test('a retry at another VM gets the answer of the first', async t => {
  const deployment = await startDeployment(t);
  const [kind] = aerolithPlan.calls.filter(one => one.tier === 1);
  const {apiKey} = plan.customers[0];
  const service = plan.modelService.service;
  const sizes = {promptTokens: 50, outputTokens: 150};
  const call = createCall({...kind, service}, apiKey, sizes);
  const first = makeCall(deployment.vms[0].callerUrl, call);
  await waitUntil('the first attempt was dispatched', async () => {
    const runs = await deployment.readRuns();
    return runs.has(`key:${call.key}`);
  });
  const retries = await Promise.all(
    deployment.vms.map((vm, index) =>
      makeCall(vm.callerUrl, {
        ...call,
        attempt: index + 2,
        isStreamed: true,
      }),
    ),
  );
  for (const retry of retries) {
    t.equal(retry.isComplete, true, `the retry got the answer: ${retry.error}`);
  }
  t.equal((await first).isComplete, true);
  const runs = await deployment.readRuns();
  t.equal(runs.get(`key:${call.key}`), 1, 'the call ran once');
});

t.test('an endpoint that leaves gets no new work', async t => {
  const deployment = await startDeployment(t);
  const [leaving] = deployment.endpoints.filter(one => one.kind === 'model');
  const {endpoint} = leaving;
  const version = await deployment.platform.putObject(
    'endpoint',
    endpoint,
    {...leaving, state: 'leaving'},
    undefined,
  );
  await waitUntil('every VM knows that it leaves', async () => {
    const statuses = await Promise.all(
      deployment.vms.map(vm => deployment.readStatus(vm)),
    );
    return statuses.every(one => one.documents['endpoints'] >= version);
  });
  const before = await deployment.readEndpointRuns(endpoint);
  const calls = await runLoadWithFault(deployment, async () => {});
  await checkPromises(t, deployment, calls);
  const after = await deployment.readEndpointRuns(endpoint);
  t.equal(after.size, before.size, 'nothing new ran there');
});
