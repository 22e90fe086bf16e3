import t from 'tap';
import {connect} from 'node:net';
import {request} from 'undici';
import {Deployment, operatorKey} from '../deployment/deployment.js';
import {desatorosPlan} from '../deployment/deploymentPlan.js';
import {loopbackHost} from '../deployment/pickPorts.js';
import {createCall, makeCall} from '../load/makeCall.js';

const plan = {
  ...desatorosPlan,
  availabilityZones: ['lima-1'],
  vmsPerZone: 1,
  enginesPerZone: [2],
};
const deployment = await Deployment.start(plan);
t.teardown(() => deployment.stop());
const [vm] = deployment.vms;
const {apiKey} = plan.customers[0];
const validBody = {
  model: plan.modelService.service,
  messages: [{role: 'user', content: 'hello'}],
  max_tokens: 3,
};

/** The body of an error answer. */
interface ErrorBody {
  readonly error: {readonly type: string; readonly message: string};
}

/** Sends a chat completion request. Returns the status and the error. */
async function send(
  body: string,
  headers: Record<string, string> = {},
): Promise<{status: number; error: ErrorBody['error'] | undefined}> {
  const response = await request(`${vm.callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${apiKey}`,
      'content-type': 'application/json',
      ...headers,
    },
    body,
  });
  const parsed = (await response.body.json()) as ErrorBody;
  return {status: response.statusCode, error: parsed.error};
}

t.test('malformed JSON', async t => {
  const {status, error} = await send('{"model": ');
  t.equal(status, 400);
  t.equal(error?.type, 'malformedRequest');
  t.match(error?.message, /JSON/);
});

t.test('an error names the invalid field', async t => {
  const {error} = await send(JSON.stringify({...validBody, max_tokens: -1}));
  t.match(error?.message, /"max_tokens"/);
});

t.test('a body that is too large', async t => {
  const {status, error} = await send('x'.repeat(1_100_000));
  t.equal(status, 413);
  t.equal(error?.type, 'bodyTooLarge');
});

t.test('an unknown model', async t => {
  const {status} = await send(JSON.stringify({...validBody, model: 'none'}));
  t.equal(status, 404);
});

t.test('a wrong API key', async t => {
  const body = JSON.stringify(validBody);
  const {status} = await send(body, {authorization: 'Bearer wrong'});
  t.equal(status, 401);
});

t.test('a tier that does not exist', async t => {
  const body = JSON.stringify(validBody);
  const {error} = await send(body, {'ryeworks-tier': '9'});
  t.match(error?.message, /Ryeworks-Tier must be one of 1, 2, 3/);
});

t.test('an idempotency key that was used for another request', async t => {
  const headers = {'idempotency-key': 'k-1'};
  t.equal((await send(JSON.stringify(validBody), headers)).status, 200);
  const otherBody = JSON.stringify({...validBody, max_tokens: 4});
  const {status, error} = await send(otherBody, headers);
  t.equal(status, 409);
  t.equal(error?.type, 'keyReused');
});

t.test('a VM keeps serving after invalid bytes on its peer port', async t => {
  await new Promise<void>((resolve, reject) => {
    const socket = connect(vm.peerPort, loopbackHost, () => {
      socket.end('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\u0000garbage');
    });
    socket.on('close', () => resolve());
    socket.on('error', reject);
    socket.resume();
  });
  t.equal((await send(JSON.stringify(validBody))).status, 200);
});

t.test('the status page requires the operator key', async t => {
  const refused = await fetch(`${vm.callerUrl}/status`);
  t.equal(refused.status, 401);
  const allowed = await fetch(`${vm.callerUrl}/status`, {
    headers: {authorization: `Bearer ${operatorKey}`},
  });
  t.equal(allowed.status, 200);
});

t.test('an endpoint refusal is "not-run", a failed run is "ran"', async t => {
  const [name] = [...deployment.directUrls.keys()].filter(endpoint =>
    endpoint.startsWith('service'),
  );
  const url = deployment.directUrls.get(name)!;
  const booking = plan.calls.find(kind => kind.name === 'gully booking')!;
  const sizes = {promptTokens: 0, outputTokens: 0};
  await deployment.setFaults(url, {refuseRate: 1});
  const refused = await makeCall(
    vm.callerUrl,
    createCall(booking, apiKey, sizes),
  );
  t.equal(refused.ran, 'not-run');
  await deployment.setFaults(url, {refuseRate: 0, failRate: 1});
  const failed = await makeCall(
    vm.callerUrl,
    createCall(booking, apiKey, sizes),
  );
  t.equal(failed.ran, 'ran', 'a failure after the run is not "not-run"');
  const runs = await deployment.readRuns();
  t.equal(runs.get(refused.call.key), undefined);
  t.equal(runs.get(failed.call.key), 1);
});
