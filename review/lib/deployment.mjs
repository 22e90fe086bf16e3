// Starts the project's program as the deploy file does, on loopback addresses.
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
/** The command of the deploy file. */
const command = [
  '--max-old-space-size=110',
  '--max-semi-space-size=4',
  'target/ryeworksd.mjs',
  'platform',
];
const frontendPort = 8221;
const readyPort = 8224;
const controlPort = 8229;
const firstPeerPort = 7600;
const lastPeerPort = 7615;
const metricsPort = 9464;

/** Bounds of the small sites. */
export const bounds = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  revoke_on_partition: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_allowance: 56,
  quota_window_s: 8,
  quota_overrun: 0.1,
  quota_allowance: 72000,
  exposure_ratio: 0.1,
  exposure_allowance: 50,
  rollback_ms: 5000,
  recovery_s: 12,
  max_delivery_ms: 120,
  retry_after_s: 6.9,
};

export const limits = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export function sleep(delayMs) {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Returns whether a TCP port of an address is free. */
function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a loopback address whose ports are free. */
export async function findAddress(number) {
  for (let attempt = 0; attempt < 200; attempt++) {
    const second = 20 + ((process.pid + attempt) % 200);
    const third = (process.pid >> 8) % 250;
    const host = `127.${second}.${third}.${number}`;
    const ports = [frontendPort, readyPort, firstPeerPort, metricsPort];
    const free = await Promise.all(ports.map(port => isFree(host, port)));
    if (free.every(Boolean)) return host;
  }
  throw new Error('no free loopback address');
}

/** The record of a case: what was sent, answered and run. */
export class Record {
  #startMs = performance.now();
  #stream;

  constructor(file) {
    this.#stream = createWriteStream(file);
  }

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  write(text) {
    const at = (this.nowMs / 1000).toFixed(3).padStart(8);
    this.#stream.write(`${at} s  ${text}\n`);
  }

  close() {
    return new Promise(resolve => this.#stream.end(resolve));
  }
}

/** Machines that run the program. */
export class Machines {
  #folder = mkdtempSync(join(tmpdir(), 'ryeworks-review-'));
  #machines = new Map();
  #record;

  constructor(record) {
    this.#record = record;
  }

  /** Writes the settings of a machine and starts its process. */
  async start({name, ip, zone, zones, seeds, storeAddress, memoryMb = 200}) {
    const file = join(this.#folder, `${name}.json`);
    const settings = {
      node_name: name,
      role: 'entry',
      machine_class: 'edge',
      serves: ['edge'],
      ip,
      zone,
      region: 'region',
      zones,
      listen: {
        frontend: `${ip}:${frontendPort}`,
        ready: `${ip}:${readyPort}`,
      },
      internal_ports: [firstPeerPort, lastPeerPort],
      seed_nodes: seeds.map(seed => `${seed}:${controlPort}`),
      bootstrap: true,
      failure_counted: false,
      limits: {
        cpu_quota: 0.675,
        cpu_cores: 1,
        memory_mb: memoryMb,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry_kind: 'virtual_ip',
      heartbeat_ms: 1200,
      bounds,
      platform: {
        address: storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    };
    writeFileSync(file, JSON.stringify(settings));
    this.#machines.set(name, {name, ip, file, child: undefined});
    this.startProcess(name);
  }

  /** Changes the bounds in the settings file of a machine, and says so. */
  changeBounds(name, change) {
    const {file} = this.#machines.get(name);
    const settings = JSON.parse(readFileSync(file, 'utf8'));
    Object.assign(settings.bounds, change);
    writeFileSync(file, JSON.stringify(settings));
    this.#record.write(`machine ${name}: new bounds ${JSON.stringify(change)}`);
    this.signal(name, 'SIGHUP');
  }

  startProcess(name) {
    const machine = this.#machines.get(name);
    const {PATH, HOME, LANG} = process.env;
    const child = spawn('node', command, {
      cwd: root,
      env: {PATH, HOME, LANG, RYEWORKS_SETTINGS: machine.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    const log = createWriteStream(join(this.#folder, `${name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    child.once('exit', (code, signal) => {
      this.#record.write(`machine ${name}: process ended, ${code ?? signal}`);
      machine.child = undefined;
    });
    this.#record.write(`machine ${name}: process started at ${machine.ip}`);
  }

  getPid(name) {
    return this.#machines.get(name).child?.pid;
  }

  signal(name, signal) {
    this.#record.write(`machine ${name}: ${signal}`);
    this.#machines.get(name).child?.kill(signal);
  }

  async waitUntilReady(name, timeoutMs = 10_000) {
    const {ip} = this.#machines.get(name);
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      if ((await checkReady(ip)) === 200) {
        this.#record.write(`machine ${name}: ready`);
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  /** Ends all processes. */
  async stop() {
    const waits = [];
    for (const {child} of this.#machines.values()) {
      if (child === undefined) continue;
      waits.push(new Promise(resolve => child.once('exit', resolve)));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(waits);
    if (process.env.KEEP_LOGS === '1') console.log(this.#folder);
    else rmSync(this.#folder, {recursive: true, force: true});
  }
}

function checkReady(ip) {
  return new Promise(resolve => {
    const request = http.get(
      {host: ip, port: readyPort, path: '/v1/readyz', agent: false},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.setTimeout(400, () => request.destroy());
    request.on('error', () => resolve(0));
  });
}

let nextAttempt = 1;

/** Sends a request as a client; resolves with what the client saw. */
export function sendRequest(
  ip,
  {record, path, method = 'POST', headers, body},
) {
  const attemptId = `a${process.pid.toString(16)}-${nextAttempt++}`;
  record.write(`client ${attemptId}: ${method} ${path} to ${ip}`);
  return new Promise(resolve => {
    let text = '';
    const finish = (status, isComplete, answerHeaders = {}) => {
      record.write(
        `client ${attemptId}: ${status === 0 ? 'no answer' : status}` +
          `${isComplete ? '' : ', incomplete'} ${text.slice(0, 90)}`,
      );
      resolve({attemptId, status, isComplete, text, headers: answerHeaders});
    };
    const request = http.request({
      host: ip,
      port: frontendPort,
      path,
      method,
      agent: false,
      headers: {
        host: 'site.example',
        'x-attempt-id': attemptId,
        'x-deadline-ms': '4000',
        authorization: 'Bearer key-1',
        ...headers,
      },
    });
    request.on('error', () => finish(0, false));
    request.on('response', response => {
      response.on('data', chunk => (text += chunk));
      response.on('error', () => {});
      response.on('close', () =>
        finish(response.statusCode, response.complete, response.headers),
      );
    });
    request.end(body);
  });
}
