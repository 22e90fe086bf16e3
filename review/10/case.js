import {fileURLToPath} from 'node:url';
import {createRoute} from '../lib-2/deployment.js';
import {runCase, startRepeating} from '../lib-2/scene.js';
import {sleep} from '../lib-2/vm.js';
import {sendEvents, Worker} from '../lib-2/worker.js';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const machineCount = 10;
/** Time between the starts of two machines, in ms: all start within 0.3 s. */
const startGapMs = 30;
const workersPerVersion = 7;
const slots = 7;
/** Requests a second of all callers together, and their time limits, in ms. */
const ratesPerS = {outlook: 50, alert: 4};
const deadlinesMs = {outlook: 8000, alert: 15_000};
/** Time until the first event, in ms: usually, and of the bad version later. */
const soundMs = 200;
const slowMs = 2000;
/** Time from its order until the bad version becomes slow, in ms. */
const slowAfterMs = 4000;
/** Length of each roll-out, in s. */
const durationS = 12;
/** Time from the first order until the second one replaces it, in ms. */
const replaceAfterMs = 9500;
/** Bounds of the settings. */
const exposureRatio = 0.1;
const exposureAllowance = 50;

const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, async (scene, record) => {
  const {store} = scene;
  let slowFromMs = Number.POSITIVE_INFINITY;
  const arrivals = {v1: 0, v2: 0, v3: 0};
  const answer = async (socket, request, worker) => {
    arrivals[worker.version] += 1;
    const id = request.headers['x-attempt-id'];
    record.note(`${worker.id} of ${worker.version} runs ${id}`);
    const isSlow = worker.version === 'v3' && Date.now() > slowFromMs;
    await sleep(isSlow ? slowMs : soundMs);
    if (socket.destroyed) return;
    const isLong = request.path.startsWith('/alert/');
    const form = isLong ? {events: 80, gapMs: 100} : {events: 5, gapMs: 20};
    sendEvents(socket, request, form);
  };
  const workers = {v1: [], v2: [], v3: []};
  const startVersion = async version => {
    for (let index = 0; index < workersPerVersion; index++) {
      const id = `i-${version}-${index}`;
      const fields = {id, service: 'writer', slots, answer, version};
      const worker = await new Worker(fields).start();
      workers[version].push(worker);
      store.put('servers', id, worker.entry);
    }
  };
  const stopVersion = async version => {
    for (const worker of workers[version].splice(0)) {
      store.remove('servers', worker.id);
      await worker.stop();
    }
  };
  await store.start();
  await startVersion('v1');
  const routes = Object.entries(deadlinesMs).map(([name, timeoutMs]) =>
    createRoute(name, 'writer', 'streaming', {
      timeout_ms: timeoutMs,
      latency_target_ms: 1000,
      max_gap_ms: 400,
      resumable: true,
    }),
  );
  const vmCount = machineCount;
  const isReady = await scene.start({
    services: {},
    routes,
    vmCount,
    answer,
    startGapMs,
  });
  if (!isReady) return 2;
  let next = 0;
  const calls = [];
  const send = name => {
    next += 1;
    const vm = scene.vms[next % machineCount];
    const deadlineMs = deadlinesMs[name];
    calls.push(scene.send(vm, `/${name}/a`, {deadlineMs}));
  };
  const ends = Object.entries(ratesPerS).map(([name, rate]) =>
    startRepeating(rate, () => send(name)),
  );
  const order = target => {
    record.note(`order: ${target}`);
    const spec = {service: 'writer', target, duration_s: durationS};
    store.put('rollouts', 'writer', spec);
  };
  /** Waits for a result of the order for a version; returns it, if any came. */
  const waitForResult = async (target, timeoutMs) => {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      const {status} = store.objects.get('rollouts/writer');
      const hasEnded = ['completed', 'reverted'].includes(status?.state);
      if (status?.target === target && hasEnded) {
        record.note(`result: ${target} ${status.state}`);
        return status.state;
      }
      await sleep(10);
    }
    record.note(`result: ${target} none`);
    return undefined;
  };
  await sleep(3000);
  await startVersion('v2');
  order('v2');
  if (hasTrouble) {
    await sleep(replaceAfterMs);
  } else {
    const state = await waitForResult('v2', durationS * 1500);
    if (state === 'completed') await stopVersion('v1');
    await sleep(2000);
  }
  await startVersion('v3');
  const before = {...arrivals};
  const fromMs = Date.now();
  slowFromMs = fromMs + slowAfterMs;
  order('v3');
  const result = await waitForResult('v3', durationS * 1000);
  const resultMs = Date.now() - fromMs;
  if (result === 'completed') {
    await stopVersion('v1');
    await stopVersion('v2');
  }
  await sleep(Math.max(0, fromMs + durationS * 1000 - Date.now()));
  const bad = arrivals.v3 - before.v3;
  let all = 0;
  for (const version of Object.keys(arrivals)) {
    all += arrivals[version] - before[version];
  }
  for (const end of ends) end();
  await Promise.race([Promise.all(calls), sleep(9000)]);
  const most = exposureRatio * all + exposureAllowance;
  record.note(`v3 ${result ?? 'without a result'} after ${resultMs} ms`);
  record.note(`requests that reached v3: ${bad} of ${all}, at most ${most}`);
  return bad > most ? 1 : 0;
});
