import {AddressInfo} from 'node:net';
import t from 'tap';
import {
  defaultEngineOptions,
  FaultProxy,
  startEngine,
  startService,
} from '../index.js';

const host = '127.0.0.1';
const pauseMs = 600;
/** Time that a stand-in may take for a call without a pause, in ms. */
const quickMs = 300;

/** Makes a call; returns the body, and the time that it took in ms. */
async function makeCall(url: string, body?: object) {
  const startedAtMs = performance.now();
  const method = body === undefined ? 'GET' : 'POST';
  const headers = {'content-type': 'application/json'};
  const init = {method, headers, body: JSON.stringify(body)};
  const text = await (await fetch(url, init)).text();
  return {text, tookMs: performance.now() - startedAtMs};
}

/** Reads a stream of ten words of an engine while `pause` is called in it. */
async function readStream(url: string, pause: () => Promise<unknown>) {
  const reading = makeCall(`${url}/v1/chat/completions`, {max_tokens: 10});
  await new Promise(resolve => setTimeout(resolve, 50));
  await pause();
  const words = (await reading).text.match(/w\d+-/g);
  return {words, tookMs: (await reading).tookMs};
}

const allWords = Array.from({length: 10}, (_, index) => `w${index + 1}-`);

// Guards against a pause that loses data, ends calls or fails the health checks:
// the stand-in would then not be a sound endpoint that is silent.
t.test('a paused stand-in goes on with everything that it holds', async t => {
  const options = {host, port: 0, version: 'v1'};
  const engine = await startEngine({
    ...options,
    checksFencing: true,
    engine: defaultEngineOptions,
  });
  const service = await startService({...options, callMs: 5});
  t.teardown(() => Promise.all([engine.close(), service.close()]));
  const [engineUrl, serviceUrl] = [engine, service].map(({server}) => {
    return `http://${host}:${(server.address() as AddressInfo).port}`;
  });
  const pause = (url: string) => makeCall(`${url}/control`, {pauseMs});

  const stream = await readStream(engineUrl, () => pause(engineUrl));
  t.strictSame(stream.words, allWords);
  t.ok(stream.tookMs > pauseMs, `the stream took ${stream.tookMs} ms`);

  await pause(serviceUrl);
  const [load, call] = await Promise.all([
    makeCall(`${serviceUrl}/load`),
    makeCall(`${serviceUrl}/orders/1`, {}),
  ]);
  t.ok(load.tookMs < quickMs, `health was answered after ${load.tookMs} ms`);
  t.match(call.text, /"version":"v1"/);
  t.ok(call.tookMs > quickMs, `the new call took ${call.tookMs} ms`);
});

// Guards against a path that loses or reorders bytes while it holds them.
t.test('a path that is held passes everything on afterwards', async t => {
  const engine = await startEngine({
    host,
    port: 0,
    version: 'v1',
    checksFencing: true,
    engine: defaultEngineOptions,
  });
  const targetPort = (engine.server.address() as AddressInfo).port;
  const proxy = new FaultProxy({host, port: 0, targetHost: host, targetPort});
  const url = `http://${host}:${await proxy.listen()}`;
  t.teardown(async () => {
    proxy.close();
    await engine.close();
  });
  const stream = await readStream(url, async () => proxy.holdFor(pauseMs));
  t.strictSame(stream.words, allWords);
  t.ok(stream.tookMs > pauseMs, `the stream took ${stream.tookMs} ms`);
});
