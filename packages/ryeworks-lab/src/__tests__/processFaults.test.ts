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
import {countFailureReasons} from '../report/countFailureReasons.js';
import {findBrokenPromises} from '../report/findBrokenPromises.js';
import {readLogLines} from '../report/readLogLines.js';

const seed = 11;
const plan: DeploymentPlan = {
  ...desatorosPlan,
  availabilityZones: ['lima-1', 'lima-2'],
};

/** Starts a deployment that is stopped at the end of the test. */
async function startDeployment(
  t: Test,
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const deployment = await Deployment.start(plan, options);
  t.teardown(() => deployment.stop());
  return deployment;
}

/** Runs a load and applies a fault 2 s after its start. Returns all calls. */
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

/**
 * Checks that no promise was broken: for all promises, the last attempt of each
 * call; for content of other requests, every attempt.
 */
async function checkPromises(
  t: Test,
  deployment: Deployment,
  calls: readonly RetriedCall[],
): Promise<void> {
  const runs = await deployment.readRuns();
  const lastAttempts = calls.map(
    call => call.attempts[call.attempts.length - 1],
  );
  t.strictSame(findBrokenPromises(lastAttempts, runs), [], `seed ${seed}`);
  const foreign = calls
    .flatMap(call => call.attempts)
    .filter(result => result.hasForeignContent);
  t.equal(foreign.length, 0, 'no answer with content of another request');
}

t.test('no call runs twice after a VM is killed under load', async t => {
  const deployment = await startDeployment(t);
  const calls = await runLoadWithFault(deployment, async () => {
    const [killed] = deployment.vms.splice(0, 1);
    deployment.processes.signal(killed.name, 'SIGKILL');
  });
  await checkPromises(t, deployment, calls);
  const answered = calls.filter(call =>
    call.attempts.some(result => result.isComplete),
  );
  t.ok(
    answered.length > calls.length * 0.9,
    `${answered.length}/${calls.length}`,
  );
});

t.test('no call runs twice after a VM pauses and loses ownership', async t => {
  const deployment = await startDeployment(t);
  const [paused] = deployment.vms;
  const calls = await runLoadWithFault(deployment, async () => {
    deployment.processes.signal(paused.name, 'SIGSTOP');
    await new Promise(resolve => setTimeout(resolve, 3500));
    deployment.processes.signal(paused.name, 'SIGCONT');
  });
  await checkPromises(t, deployment, calls);
});

t.test('a graceful stop under load truncates no answer', async t => {
  const deployment = await startDeployment(t);
  const [leaving] = deployment.vms;
  let exitCode: number | null = null;
  const calls = await runLoadWithFault(deployment, async () => {
    deployment.processes.signal(leaving.name, 'SIGTERM');
    exitCode = await deployment.processes.waitForExit(leaving.name);
    deployment.vms.splice(0, 1);
  });
  await checkPromises(t, deployment, calls);
  t.equal(exitCode, 0, 'the process exits on its own');
  const truncated = calls
    .flatMap(call => call.attempts)
    .filter(result => result.error === 'truncated' || result.ran === 'unknown');
  const reasons = await countFailureReasons(deployment.logDirectory);
  t.strictSame(
    truncated.map(result => result.error),
    [],
    `no answer was truncated; failures: ${JSON.stringify(reasons)}`,
  );
});

t.test('streams resume after open engine connections go silent', async t => {
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
    const hasKey = call.key !== '';
    const hasRun = (runs.get(`key:${call.key}`) ?? runs.get(call.key)) === 1;
    const isUnknown = last.ran === 'unknown' && hasKey && !hasRun;
    const name = `${call.kind.name} ${last.error} ${last.ran}`;
    t.ok(
      last.isComplete || isUnknown,
      `complete, or the request was lost before it ran: ${name}`,
    );
  }
});

t.test('a retry at another VM gets the answer of the first', async t => {
  const deployment = await startDeployment(t);
  const [kind] = aerolithPlan.calls.filter(callKind => callKind.tier === 1);
  const {apiKey} = plan.customers[0];
  const service = plan.modelService.service;
  const sizes = {promptTokens: 50, outputTokens: 150};
  const call = createCall({...kind, service}, apiKey, sizes);
  const first = makeCall(deployment.vms[0].callerUrl, call);
  await waitUntil('the first attempt was dispatched', async () => {
    const runs = await deployment.readRuns();
    return runs.has(`key:${call.key}`);
  });
  t.comment(`retries start at ${new Date().toISOString()}`);
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
    t.equal(
      retry.isComplete,
      true,
      `the retry got a complete answer: ${retry.error}`,
    );
  }
  const firstResult = await first;
  t.equal(firstResult.isComplete, true);
  const runs = await deployment.readRuns();
  t.equal(runs.get(`key:${call.key}`), 1, 'the call ran once');
  if ([firstResult, ...retries].every(result => result.isComplete)) return;
  t.comment(`first attempt: ${firstResult.error} ${firstResult.totalMs} ms`);
  for (const line of await readLogLines(deployment.logDirectory)) {
    t.comment(line);
  }
});

t.test('a leaving endpoint gets no new requests', async t => {
  const deployment = await startDeployment(t);
  const [leaving] = deployment.endpoints.filter(
    candidate => candidate.kind === 'model',
  );
  const {endpoint} = leaving;
  const version = await deployment.platform.putObject(
    'endpoint',
    endpoint,
    {...leaving, state: 'leaving'},
    undefined,
  );
  await waitUntil('every VM has applied the leaving state', async () => {
    const statuses = await Promise.all(
      deployment.vms.map(vm => deployment.readStatus(vm)),
    );
    return statuses.every(status => status.documents['endpoints'] >= version);
  });
  const before = await deployment.readEndpointRuns(endpoint);
  const calls = await runLoadWithFault(deployment, async () => {});
  await checkPromises(t, deployment, calls);
  const after = await deployment.readEndpointRuns(endpoint);
  t.equal(after.size, before.size, 'no new request ran at the endpoint');
});
