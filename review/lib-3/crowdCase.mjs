/**
 * A case in which a crowd of callers outside the users' control sends requests of
 * legal size and stops just short of their end. Two machines run; the crowd comes
 * three times to each. The rule is broken if each process ends by itself each time.
 */
import {request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {
  callerLimits,
  createFolder,
  findPort,
  findAddresses,
  finish,
  internalPort,
  Machine,
  Record,
  sleep,
} from './deployment.mjs';
import {startStore} from './store.mjs';
import {createEntry, startWorker} from './worker.mjs';

export const host = 'calls.example';
const path = '/status/1';
/** Times that the crowd comes to each machine. */
const rounds = 3;
/** The rule: how often processes end, and on how many machines at least. */
const minEnds = 3;
const minMachines = 2;
/** How long a crowd stays, in ms; a process that ends makes it shorter. */
const stayMs = 12_000;
/** Delay after which a process that has ended is started again, in ms. */
const restartMs = 500;

/** Sends one ordinary request; returns its status or why there is none. */
export function sendOrdinary({ip, ports}, attempt) {
  return new Promise(resolve => {
    const call = httpRequest(
      {
        host: ip,
        port: ports.frontend,
        path,
        agent: false,
        timeout: 5000,
        headers: {
          Host: host,
          'X-Attempt-Id': attempt,
          'X-Deadline-Ms': '5000',
          Authorization: 'Bearer key-1',
        },
      },
      response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve('cut'));
      },
    );
    call.on('timeout', () => call.destroy(new Error('timeout')));
    call.on('error', error => resolve(error.code ?? error.message));
    call.end();
  });
}

/** Opens the connections of a crowd; each sends its text and stays open. */
function sendCrowd({ip, ports}, {createText, size, spreadMs = 0}) {
  const sockets = [];
  for (let number = 0; number < size; number++) {
    const socket = connect({host: ip, port: ports.frontend});
    socket.on('error', () => {});
    socket.on('data', chunk => {
      socket.answered ??= chunk.toString('latin1').split('\r\n', 1)[0];
    });
    const delayMs = (number / size) * spreadMs;
    setTimeout(() => socket.write(createText(number)), delayMs);
    sockets.push(socket);
  }
  return sockets;
}

/** Counts what the crowd was answered. */
function countAnswers(sockets) {
  const counts = {};
  for (const {answered = 'nothing'} of sockets) {
    counts[answered] = (counts[answered] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}

/** Creates the desired state: one idempotent route, one tenant. */
export function createDesiredState() {
  return {
    version: 7,
    routes: [
      {
        name: 'r-status',
        host,
        path_prefix: '/status/',
        route_kind: 'idempotent',
        timeout_ms: 5000,
        latency_target_ms: 400,
        priority: 0,
        service: 'app',
        max_attempts: 2,
        anonymous: false,
      },
    ],
    services: [{name: 'app', health_path: '/healthz', max_connections: 490}],
    limits: callerLimits,
    tenants: [{name: 'tenant-1', api_keys: ['key-1'], priority: 0}],
  };
}

/** Starts two machines with limits; each has an address of its own. */
async function startMachines(storePort, folder, limits) {
  const machines = [];
  const zones = ['lima-norte', 'lima-centro'];
  const addresses = await findAddresses(zones.length);
  for (const [index, zone] of zones.entries()) {
    const ip = addresses[index];
    const ports = {
      frontend: await findPort(ip),
      ready: await findPort(ip),
      internal: internalPort,
    };
    const name = `edge-${zone}-1`;
    const machine = new Machine({
      name,
      ip,
      zone,
      ports,
      storePort,
      folder,
      limits,
    });
    machine.start();
    machines.push(machine);
  }
  return machines;
}

/** Lets the crowd come once; returns whether the process ended by itself. */
async function playRound(record, machine, round, crowd) {
  const {name} = machine;
  const sockets = sendCrowd(machine, crowd);
  record.add(`${name}, round ${round}: ${sockets.length} callers send`);
  const endAt = performance.now() + (crowd.size === 0 ? 2000 : stayMs);
  let mostMb = 0;
  const answers = {};
  while (performance.now() < endAt && machine.ended === undefined) {
    const status = await sendOrdinary(machine, `o-${round}-${Date.now()}`);
    answers[status] = (answers[status] ?? 0) + 1;
    mostMb = Math.max(mostMb, machine.readResidentMb());
    await sleep(250);
  }
  record.add(`${name}: ordinary requests: ${JSON.stringify(answers)}`);
  record.add(`${name}: the crowd got: ${countAnswers(sockets)}`);
  record.add(`${name}: resident memory at most ${mostMb} MB`);
  for (const socket of sockets) socket.destroy();
  if (machine.ended === undefined) return false;
  const {code, signal} = machine.ended;
  record.add(`${name}: THE PROCESS ENDED: code ${code}, signal ${signal}`);
  await sleep(restartMs);
  machine.start();
  return true;
}

/** Runs the case: `createText(number)` is what a caller of the crowd sends. */
async function run(record, crowd, limits) {
  const folder = createFolder();
  const store = await startStore();
  const worker = await startWorker({id: 'i-1'});
  store.put('servers', 'i-1', createEntry(worker, 'app'));
  store.put('config', 'main', createDesiredState());
  const machines = await startMachines(store.port, folder, limits);
  const ends = {};
  for (let round = 1; round <= rounds; round++) {
    for (const machine of machines) {
      if (!(await machine.waitReady())) {
        return finish(record, machines, 2, `${machine.name} is not ready`);
      }
      const status = await sendOrdinary(machine, `first-${round}`);
      record.add(`${machine.name}: ordinary request before: ${status}`);
      if (status !== 200) return finish(record, machines, 2, 'not served');
      const hasEnded = await playRound(record, machine, round, crowd);
      if (hasEnded) ends[machine.name] = (ends[machine.name] ?? 0) + 1;
    }
  }
  const text = `processes that ended by themselves: ${JSON.stringify(ends)}`;
  const often = Object.values(ends).filter(count => count >= minEnds);
  if (often.length >= minMachines)
    return finish(record, machines, 1, `BROKEN: ${text}`);
  return finish(record, machines, 0, `kept: ${text}`);
}

/**
 * Runs the case in a folder.
 *
 * @param crowd how many callers there are, none without the disruption; what each
 *   one sends; and the time over which they come, in ms
 * @param limits what the machines have
 */
export function runCrowdCase(folder, crowd, limits) {
  const record = new Record(folder);
  run(record, crowd, limits).catch(error =>
    finish(record, [], 2, `could not run: ${error.stack}`),
  );
}
