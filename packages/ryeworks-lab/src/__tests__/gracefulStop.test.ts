import {once} from 'node:events';
import {createServer, RequestListener} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {Deployment} from '../deployment/deployment.js';
import {DeploymentPlan, desatorosPlan} from '../deployment/deploymentPlan.js';

const zone = 'lima-1';
const plan: DeploymentPlan = {
  ...desatorosPlan,
  availabilityZones: [zone],
  servicesPerZone: 0,
  vmsPerZone: 1,
};
/** Size of an answer that the buffers of a connection cannot hold. */
const answerBytes = 24 * 1024 * 1024;
/** Time for which a caller does not read its answer, in ms. */
const readPauseMs = 2000;
/** Longest time that the stop may take after the last caller, in ms. */
const maxStopMs = 5000;
/** Time for which an endpoint runs a request, in ms. */
const runMs = 300;
const body = 'x'.repeat(1000);

/** Adds a plain service. */
async function addService(
  deployment: Deployment,
  answer: RequestListener,
): Promise<void> {
  const server = createServer(answer);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const endpoint = 'plain-endpoint';
  const {port} = server.address() as AddressInfo;
  const content = {
    endpoint,
    service: plan.plainService.service,
    kind: 'plain',
    version: 'v1',
    availabilityZone: zone,
    address: `http://127.0.0.1:${port}`,
    engine: 'plain',
    generation: 1,
    state: 'live',
    checksFencing: false,
    canResume: false,
  };
  await deployment.platform.putObject('endpoint', endpoint, content, 0);
}

/** A caller's connection and what it received. */
interface Caller {
  readonly socket: Socket;
  receivedBytes: number;
  start: string;
}

/** Creates a request, or the start of one. */
function createRequest(url: URL, bodyPart: string): string {
  const path = `/services/${plan.plainService.service}/jobs`;
  const headers = [
    `POST ${path} HTTP/1.1`,
    `host: ${url.host}`,
    `authorization: Bearer ${plan.customers[0].apiKey}`,
    'ryeworks-attempt: 1',
    `content-length: ${body.length}`,
  ];
  return `${headers.join('\r\n')}\r\n\r\n${bodyPart}`;
}

/** Opens a connection and sends something on it. */
function sendRequest(url: URL, text: string): Caller {
  const socket = connect(Number(url.port), url.hostname);
  const caller: Caller = {socket, receivedBytes: 0, start: ''};
  socket.on('data', chunk => {
    caller.receivedBytes += chunk.length;
    if (caller.start === '') caller.start = chunk.toString('latin1');
  });
  socket.on('error', () => {});
  socket.write(text);
  return caller;
}

// Guards against an answer that a stop cuts, and a stop that does not end.
t.test('a stop ends after slow callers have their answers', async t => {
  const deployment = await Deployment.start(plan);
  t.teardown(() => deployment.stop());
  await addService(deployment, (request, response) => {
    request.resume();
    response.end(Buffer.alloc(answerBytes, 'a'));
  });
  await sleep(1500);
  const [vm] = deployment.vms;
  const url = new URL(vm.callerUrl);
  const slowReader = sendRequest(url, createRequest(url, body));
  slowReader.socket.pause();
  const slowSender = sendRequest(url, createRequest(url, body.slice(1)));
  await sleep(500);

  deployment.processes.signal(vm.name, 'SIGTERM');
  const exit = deployment.processes.waitForExit(vm.name);
  await sleep(readPauseMs);
  slowSender.socket.write(body.slice(0, 1));
  slowReader.socket.resume();
  const exitCode = await Promise.race([exit, sleep(maxStopMs)]);
  t.equal(exitCode, 0, 'the process ends on its own');
  t.ok(slowReader.receivedBytes > answerBytes, 'the answer is complete');
  t.match(slowSender.start, /503 .*ryeworks-ran: not-run/s, 'refused');
});

// Guards against requests sent together of which a stop drops those behind the
// first, although they run.
t.test('requests sent together before a stop are answered', async t => {
  const deployment = await Deployment.start(plan);
  t.teardown(() => deployment.stop());
  let running = 0;
  let maxRunning = 0;
  let runs = 0;
  await addService(deployment, async (request, response) => {
    request.resume();
    runs += 1;
    maxRunning = Math.max(maxRunning, ++running);
    await sleep(runMs);
    running -= 1;
    response.end('done');
  });
  await sleep(1500);
  const [vm] = deployment.vms;
  const url = new URL(vm.callerUrl);
  const caller = sendRequest(url, createRequest(url, body).repeat(3));
  let received = '';
  caller.socket.on('data', chunk => (received += chunk));
  await sleep(runMs / 2);
  deployment.processes.signal(vm.name, 'SIGTERM');
  await deployment.processes.waitForExit(vm.name);
  const answers = received.split('HTTP/1.1 ').slice(1);
  t.equal(answers.length, 3, received);
  const passedOn = answers.filter(answer => answer.startsWith('200'));
  t.equal(passedOn.length, runs, 'what has run is answered');
  t.ok(runs >= 1);
  t.equal(maxRunning, 1, 'one at a time');
  t.match(answers[2], /connection: close/i);
});
