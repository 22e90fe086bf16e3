import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Caller, createAttemptId, createRequest} from './client.js';
import {createConfig} from './deployment.js';
import {Store} from './store.js';
import {createVms, sleep} from './vm.js';
import {Worker} from './worker.js';

/** Time after which the platform starts a process again, in ms. */
const restartMs = 300;

/** The record of a case: what was sent, answered and run. */
export class Record {
  constructor(folder) {
    this.folder = folder;
    this.startedAtMs = Date.now();
    this.lines = [];
  }

  note(text) {
    const atMs = `${Date.now() - this.startedAtMs}`.padStart(6);
    this.lines.push(`${atMs} ms ${text}`);
  }

  write() {
    const file = join(this.folder, 'record.txt');
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

/** A deployment: a store, workers, and machines that are started again. */
export class Scene {
  constructor(record) {
    this.record = record;
    this.store = new Store();
    this.workers = [];
    this.counts = {};
    this.isOver = false;
  }

  /**
   * Starts everything. `services` holds the number of workers, their slots, and
   * how many of them are in trouble, by name.
   */
  async start({
    services,
    routes,
    vmCount,
    vmOptions,
    answer,
    config,
    startGapMs = 0,
  }) {
    if (this.store.address === undefined) await this.store.start();
    for (const [service, {badCount = 0, count, slots}] of Object.entries(
      services,
    )) {
      for (let index = 0; index < count; index++) {
        const id = `i-${service}-${index}`;
        const worker = new Worker({id, service, slots, answer});
        worker.isBad = index < badCount;
        this.workers.push(await worker.start());
        this.store.put('servers', id, worker.entry);
      }
    }
    this.store.put('config', 'main', createConfig(3, routes, config));
    this.vms = await createVms(vmCount, this.store.address, vmOptions);
    this.running = [];
    for (const vm of this.vms) {
      this.running.push(this.keepRunning(vm));
      await sleep(startGapMs);
    }
    const areReady = await Promise.all(this.vms.map(vm => vm.waitUntilReady()));
    return areReady.every(Boolean);
  }

  /** Starts a machine's process, and again when it has ended. */
  async keepRunning(vm) {
    const {record} = this;
    vm.ends = 0;
    while (!this.isOver) {
      vm.start();
      record.note(`${vm.name} starts`);
      await vm.exited;
      if (this.isOver || vm.isLost) return;
      vm.ends += 1;
      const {code, signal} = vm.exits.at(-1);
      const [reason = 'no reason printed'] =
        /FATAL ERROR: [^\n]*|source=uncaught.*?Error: [^\\]*/.exec(vm.output) ??
        [];
      record.note(`${vm.name} ended: code ${code}, ${signal}: ${reason}`);
      vm.output = '';
      await sleep(restartMs);
    }
  }

  /** Sends a request on a connection of its own; returns the answer. */
  async send(vm, path, {deadlineMs, waitMs = deadlineMs, ...options}) {
    const {record} = this;
    const attemptId = createAttemptId();
    const caller = new Caller(vm.ip, vm.ports.frontend);
    const sentAtMs = Date.now();
    const fields = {path, attemptId, deadlineMs, body: 'b'.repeat(200)};
    caller.send(createRequest({...fields, ...options}));
    const answer = await caller.readAnswer(waitMs);
    caller.close();
    const tookMs = Date.now() - sentAtMs;
    const end = answer.isComplete ? '' : ` incomplete (${answer.why ?? 'cut'})`;
    const result = `${answer.status}${end}`;
    record.note(`${attemptId} ${path} at ${vm.name}: ${result}, ${tookMs} ms`);
    const key = `${path} ${result}`;
    this.counts[key] = (this.counts[key] ?? 0) + 1;
    return {...answer, sentAtMs, tookMs};
  }

  /** Ends all that was started. */
  async stop() {
    this.isOver = true;
    for (const vm of this.vms ?? []) await vm.end();
    await Promise.all(this.running ?? []);
    for (const worker of this.workers) await worker.stop();
    await this.store.stop();
  }
}

/** Calls a function at a rate, until the returned function is called. */
export function startRepeating(perSecond, call) {
  const timer = setInterval(call, 1000 / perSecond);
  return () => clearInterval(timer);
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const scene = new Scene(record);
  let code = 2;
  try {
    code = await play(scene, record);
  } catch (error) {
    record.note(`the case could not run: ${error.stack}`);
  }
  const counts = JSON.stringify(scene.counts);
  record.note(`what callers got: ${counts}`);
  record.note(`exit code ${code}`);
  record.write();
  console.log(record.lines.slice(-6).join('\n'));
  const ended = scene.stop();
  await Promise.race([ended, sleep(5000)]);
  process.exit(code);
}
