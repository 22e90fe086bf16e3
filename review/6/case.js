import {fileURLToPath} from 'node:url';
import {createRoute} from '../lib-2/deployment.js';
import {runCase, startRepeating} from '../lib-2/scene.js';
import {sleep} from '../lib-2/vm.js';
import {sendAnswer, sendEvents} from '../lib-2/worker.js';

/** Whether the disruption is played. */
const hasTrouble = process.env.TROUBLE !== '0';

const services = {
  writer: {count: 24, slots: 8},
  ledger: {count: 5, slots: 6},
};
/** Machines, and how many of them are left after the loss of the others. */
const machineCount = 12;
const machinesLeft = 2;
/** Requests a second of all callers together, below those of the sheet. */
const ratesPerS = {note: 220, lodgement: 60};
/** Time limits of the callers, in ms. */
const deadlinesMs = {note: 3020, lodgement: 1513};
/** Length of the traffic, and when the machines are lost, in ms. */
const trafficMs = 100_000;
const lossAtMs = 3000;
/** Ends by themselves, of two machines or more, that break the rule. */
const endsPerMachine = 3;
const minMachines = 2;

const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, async (scene, record) => {
  let runs = 0;
  const answer = async (socket, request, worker) => {
    runs += 1;
    if (worker.service === 'writer') {
      sendEvents(socket, request, {events: 5, gapMs: 20});
      return;
    }
    await sleep(60);
    sendAnswer(socket, request, 'x'.repeat(800));
  };
  const routes = [
    createRoute('note', 'writer', 'streaming', {
      timeout_ms: deadlinesMs.note,
      latency_target_ms: 503,
      max_gap_ms: 400,
      max_attempts: 1,
    }),
    createRoute('lodgement', 'ledger', 'non_idempotent', {
      timeout_ms: deadlinesMs.lodgement,
      latency_target_ms: 307,
      max_attempts: 1,
      priority: 1,
    }),
  ];
  const isReady = await scene.start({
    services,
    routes,
    vmCount: machineCount,
    vmOptions: {memoryMb: 301},
    answer,
  });
  if (!isReady) return 2;
  let inUse = [...scene.vms];
  let next = 0;
  const calls = [];
  const ends = [];
  for (const [name, rate] of Object.entries(ratesPerS)) {
    const send = () => {
      next += 1;
      const vm = inUse[next % inUse.length];
      return scene.send(vm, `/${name}/a`, {deadlineMs: deadlinesMs[name]});
    };
    ends.push(startRepeating(rate, () => calls.push(send())));
  }
  const listBroken = () => inUse.filter(vm => vm.ends >= endsPerMachine);
  const fromMs = Date.now();
  while (Date.now() - fromMs < trafficMs && listBroken().length < minMachines) {
    await sleep(100);
    const isLost = inUse.length < machineCount;
    if (!hasTrouble || isLost || Date.now() - fromMs < lossAtMs) continue;
    for (const vm of inUse.splice(machinesLeft)) {
      record.note(`${vm.name} is lost for good`);
      vm.isLost = true;
      vm.signal('SIGKILL');
    }
    inUse = [...inUse];
  }
  for (const end of ends) end();
  await Promise.race([Promise.all(calls), sleep(4000)]);
  for (const {ends: n, name} of inUse) {
    record.note(`${name} ended by itself ${n} times`);
  }
  record.note(`runs at workers: ${runs}`);
  return listBroken().length >= minMachines ? 1 : 0;
});
