import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../..', import.meta.url));

/** Waits for a number of ms. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns the command of the deploy file. */
function readCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Finds a free port of an address. */
export function findPort(host) {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** One machine: the project's program with a settings file of its own. */
export class Vm {
  constructor({
    name,
    zone,
    ip,
    storeAddress,
    seeds = [],
    zones,
    memoryMb,
    bounds,
  }) {
    Object.assign(this, {name, zone, ip, storeAddress, seeds, memoryMb});
    this.zones = zones ?? {[zone]: 'region-1'};
    this.bounds = bounds ?? {};
    this.output = '';
    this.exits = [];
    this.largestMb = 0;
  }

  async prepare(ports) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.file = join(this.folder, 'node.json');
    this.ports = ports;
    this.writeSettings();
  }

  writeSettings() {
    const {frontend, ready, control, internal} = this.ports;
    const {ip} = this;
    const settings = {
      node_name: this.name,
      role: 'entry',
      machine_class: 'edge',
      serves: ['edge'],
      ip,
      zone: this.zone,
      region: 'region-1',
      zones: this.zones,
      listen: {
        frontend: `${ip}:${frontend}`,
        ready: `${ip}:${ready}`,
        control_plane: `${ip}:${control}`,
      },
      internal_ports: [internal, internal + 15],
      seed_nodes: this.seeds,
      bootstrap: true,
      failure_counted: false,
      limits: {
        cpu_quota: 0.675,
        cpu_cores: 1,
        memory_mb: this.memoryMb ?? 200,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry_kind: 'virtual_ip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
      fault_tolerance: {machine_failures: 2, zones: 1, region_failures: 0},
      bounds: {
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
        ...this.bounds,
      },
      platform: {
        address: this.storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    };
    writeFileSync(this.file, JSON.stringify(settings));
  }

  start() {
    const [program, ...args] = readCommand();
    const child = spawn(program, args, {
      cwd: root,
      env: {PATH: process.env.PATH, HOME: '/tmp', RYEWORKS_SETTINGS: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.pid = child.pid;
    const add = chunk => (this.output += chunk);
    child.stdout.on('data', add);
    child.stderr.on('data', add);
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        this.exits.push({code, signal});
        resolve();
      }),
    );
    this.memoryTimer ??= setInterval(() => this.readMemory(), 20);
  }

  /** Returns the memory of the process that no file backs, in MB. */
  readMemory() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const anonymous =
        Number(/^RssAnon:\s*(\d+)/m.exec(text)?.[1] ?? 0) / 1024;
      this.largestMb = Math.max(this.largestMb, anonymous);
      return anonymous;
    } catch {
      // The process has ended.
      return 0;
    }
  }

  /** Asks the ready address once; returns the status, 0 if there was none. */
  askReady() {
    return new Promise(resolve => {
      const call = request(
        {
          host: this.ip,
          port: this.ports.ready,
          path: '/v1/readyz',
          agent: false,
          timeout: 900,
        },
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(0));
      call.end();
    });
  }

  async waitUntilReady(timeoutMs = 15000) {
    const end = Date.now() + timeoutMs;
    while (Date.now() < end) {
      if ((await this.askReady()) === 200) return true;
      await sleep(50);
    }
    return false;
  }

  signal(name) {
    this.child.kill(name);
  }

  async end() {
    clearInterval(this.memoryTimer);
    if (this.child !== undefined && this.child.exitCode === null) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    if (this.folder !== undefined) rmSync(this.folder, {recursive: true});
  }
}

/** Creates machines, one loopback address each, and their settings files. */
export async function createVms(count, storeAddress, options = {}) {
  const vms = [];
  const third = (process.pid >> 7) % 200;
  const ips = [];
  for (let index = 0; index < count; index++) {
    ips.push(`127.${30 + (process.pid % 128)}.${third}.${index + 1}`);
  }
  const ports = {};
  for (const key of ['frontend', 'ready', 'control']) {
    ports[key] = await findPort(ips[0]);
  }
  ports.internal = 7600;
  const zoneNames = options.zoneNames ?? ['zone-1'];
  const zones = Object.fromEntries(zoneNames.map(zone => [zone, 'region-1']));
  for (let index = 0; index < count; index++) {
    const zone = zoneNames[index % zoneNames.length];
    const vm = new Vm({
      name: `edge-${zone}-${index + 1}`,
      zone,
      zones,
      ip: ips[index],
      storeAddress,
      seeds: ips.slice(0, 3).map(ip => `${ip}:${ports.control}`),
      ...options,
    });
    await vm.prepare(ports);
    vms.push(vm);
  }
  return vms;
}
