// Plays requests with a part that crashes workers, beside sound ones.
import {
  findAddress,
  limits,
  Machines,
  Record,
  sendRequest,
  sleep,
} from './deployment.mjs';
import {Engine} from './engine.mjs';
import {Store} from './store.mjs';

const badPart = 'bad0bad0';
const zones = {a: 'region'};
const names = ['edge-a-1', 'edge-a-2'];
const workerCount = 12;
const soundPeriodMs = 10;
const contactMs = 3000;
/** The crash from which the rule counts, and the requests that it allows. */
const countedCrash = 5;
const maxLate = 3;

const store = new Store();
const workers = [];
const hosts = [];
const results = [];
let nextPart = 0x1000;

/** Sends a request whose prompt has the given shared parts. */
function sendPrompt(record, host, sharedParts) {
  const own = (nextPart++).toString(16).padStart(8, '0');
  const parts = [...sharedParts, own].map(part => `${part}:60`);
  const headers = {
    'x-deadline-ms': '5000',
    'x-model': 'm',
    'x-token-usage': '180,26',
    'x-prefix-hash': parts.join(','),
  };
  const path = '/summary/1';
  return sendRequest(host, {record, path, headers, body: '{"prompt":""}'});
}

/**
 * Plays a case. Returns its exit code.
 *
 * Options: whether the part crashes workers (`hasTrouble`; else a sound part
 * stands in its place); the file of the record; how many requests with the part come together
 * (`groupSize`), how often (`groupPeriodMs`) and how many times (`groups`); and
 * the shared parts of a sound prompt, by its number (`createSoundParts`). The
 * crashing part follows these.
 */
export async function playCase(options) {
  const {createSoundParts, groupPeriodMs, groups, groupSize, hasTrouble} =
    options;
  const record = new Record(options.recordFile);
  const machines = new Machines(record);
  let exitCode = 2;
  try {
    const storeAddress = await store.start('127.0.0.1');
    store.put('config', 'main', {
      version: 1,
      routes: [
        {
          name: 'summary',
          host: 'site.example',
          path_prefix: '/summary/',
          route_kind: 'streaming',
          timeout_ms: 5000,
          latency_target_ms: 400,
          priority: 0,
          service: 'llm',
          max_attempts: 1,
          anonymous: false,
          sticky: true,
          resumable: false,
          max_gap_ms: 250,
        },
      ],
      services: [{name: 'llm', health_path: '/healthz', max_connections: 490}],
      limits,
      tenants: [{name: 'tenant-1', api_keys: ['key-1']}],
    });
    for (let number = 1; number <= workerCount; number++) {
      const worker = new Engine({
        id: `i-${String(number).padStart(2, '0')}`,
        host: '127.0.0.1',
        service: 'llm',
        slots: 9,
        zone: 'a',
        store,
        record,
        badPart,
        firstEventMs: 60,
        events: 13,
        eventMs: 30,
        backAfterMs: 2000,
      });
      await worker.start();
      workers.push(worker);
    }
    for (const [index, name] of names.entries()) {
      const ip = await findAddress(31 + index);
      hosts.push(ip);
      await machines.start({
        name,
        ip,
        zone: 'a',
        zones,
        seeds: hosts,
        storeAddress,
        memoryMb: 350,
      });
    }
    for (const name of names) {
      if (!(await machines.waitUntilReady(name))) {
        throw new Error('not ready');
      }
    }
    let isSending = true;
    const sending = (async () => {
      for (let number = 0; isSending; number++) {
        const host = hosts[number % hosts.length];
        results.push(sendPrompt(record, host, createSoundParts(number)));
        await sleep(soundPeriodMs);
      }
    })();
    // The machines are in touch from here on.
    await sleep(contactMs + 1000);
    const bad = [];
    for (let group = 0; group < groups; group++) {
      const part = hasTrouble ? badPart : '50a0d000';
      record.write(`${groupSize} requests with the part ${part} come together`);
      for (let number = 0; number < groupSize; number++) {
        const host = hosts[number % hosts.length];
        const parts = [...createSoundParts(number), part];
        bad.push(sendPrompt(record, host, parts));
      }
      await sleep(groupPeriodMs);
    }
    isSending = false;
    await sending;
    const sound = await Promise.all(results);
    await Promise.all(bad);

    const crashes = workers.flatMap(worker => worker.crashes);
    crashes.sort((a, b) => a - b);
    const fromMs =
      (crashes[countedCrash - 1] ?? Number.POSITIVE_INFINITY) + contactMs;
    let late = 0;
    let cut = 0;
    for (const worker of workers) {
      cut += worker.cut;
      for (const {atMs, isBad} of worker.arrivals) {
        if (isBad && atMs > fromMs) late += 1;
      }
    }
    const failed = sound.filter(
      ({isComplete, status}) => status !== 200 || !isComplete,
    ).length;
    const summary =
      `${crashes.length} crashes, which cut ${cut} runs of sound requests; ` +
      `${late} requests with the part reached workers later than ${contactMs} ms ` +
      `after crash ${countedCrash}; ${failed} of ${sound.length} sound requests failed`;
    record.write(summary);
    console.log(summary);
    exitCode = late > maxLate ? 1 : 0;
  } catch (error) {
    record.write(`not run: ${error.stack}`);
    console.error(error);
  } finally {
    await machines.stop();
    for (const worker of workers) worker.stop();
    store.stop();
    await record.close();
  }
  return exitCode;
}
