import {Settings} from '@ryeworks/config';
import {createHttpPlatform, PlatformPort} from '@ryeworks/platform';
import {Endpoint, VmRecord} from '@ryeworks/types';
import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {request} from 'undici';
import {
  createAllowancesList,
  createPlansList,
  DeploymentPlan,
} from './deploymentPlan.js';
import {ProcessGroup, waitUntilReady} from './processGroup.js';
import {loopbackHost as host, pickPorts} from './pickPorts.js';

const resolveModule = createRequire(import.meta.url).resolve;

/** Path of the program that runs an entry VM. */
const ryeworksdProgram = join(
  dirname(resolveModule('ryeworksd')),
  'bin/ryeworksd.js',
);
/** Path of the program that runs the stand-ins. */
const standinProgram = join(
  dirname(resolveModule('@ryeworks/standins')),
  'bin/standin.js',
);

/** An entry VM that has been started. */
export interface StartedVm {
  readonly name: string;
  readonly availabilityZone: string;
  readonly callerUrl: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** Options of a deployment that a test or measurement can change. */
export interface DeploymentOptions {
  /** Scheduler settings that override the defaults. */
  readonly scheduler?: Settings['scheduler'];
  /** Whether a fault proxy is placed in front of the platform. */
  readonly hasPlatformProxy?: boolean;
  /** Whether a fault proxy is placed in front of each model engine. */
  readonly hasEngineProxies?: boolean;
  /** Arguments to Node.js for the processes of the entry VMs. */
  readonly nodeArgs?: readonly string[];
}

/** API key with which operators read the status page of a VM. */
export const operatorKey = 'operator-key-of-the-lab';

/** A deployment whose VMs and stand-ins are real processes on loopback. */
export class Deployment {
  readonly vms: StartedVm[] = [];
  readonly endpoints: Endpoint[] = [];
  /**
   * URLs of the endpoint stand-ins themselves, by endpoint. Requests to them
   * bypass the fault proxies.
   */
  readonly directUrls = new Map<string, string>();
  /**
   * Control URLs of the fault proxies, by the platform or endpoint that they
   * stand in front of. The key `platform-control` holds the URL of the platform
   * stand-in itself.
   */
  readonly controlUrls = new Map<string, string>();
  platformUrl = '';
  platform!: PlatformPort;

  private constructor(
    readonly plan: DeploymentPlan,
    readonly options: DeploymentOptions,
    readonly processes: ProcessGroup,
    private readonly directory: string,
  ) {}

  /** Starts all processes and waits until they are ready. */
  static async start(
    plan: DeploymentPlan,
    options: DeploymentOptions = {},
  ): Promise<Deployment> {
    const directory = await mkdtemp(join(tmpdir(), `ryeworks-${plan.name}-`));
    await mkdir(join(directory, 'logs'));
    const processes = new ProcessGroup(join(directory, 'logs'));
    const deployment = new Deployment(plan, options, processes, directory);
    try {
      await deployment.startPlatform();
      await deployment.startEndpoints('v1', plan.enginesPerZone);
      await deployment.writeOperatorLists();
      await deployment.startVms();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  /** Folder with the logs of all processes. */
  get logDirectory(): string {
    return join(this.directory, 'logs');
  }

  /**
   * Kills all processes. Deletes their settings and logs unless the environment
   * variable RYEWORKS_KEEP_LOGS is set.
   */
  async stop(): Promise<void> {
    await this.processes.killAll();
    await this.platform?.close();
    if (process.env['RYEWORKS_KEEP_LOGS'] === undefined) {
      await rm(this.directory, {recursive: true, force: true});
    }
  }

  /**
   * Starts model engines of a version in every zone and adds them to the
   * platform's endpoints. With version `v1`, starts the plain services as well.
   */
  async startEndpoints(
    version: string,
    enginesPerZone: readonly number[],
  ): Promise<void> {
    const {plan} = this;
    const starts: Promise<void>[] = [];
    for (const availabilityZone of plan.availabilityZones) {
      for (const [index, generation] of enginesPerZone.entries()) {
        const name = `engine-${version}-${availabilityZone}-${index}`;
        starts.push(
          this.startEngine(name, version, availabilityZone, generation),
        );
      }
      if (version !== 'v1') continue;
      for (let index = 0; index < plan.servicesPerZone; index++) {
        const name = `service-${availabilityZone}-${index}`;
        starts.push(this.startService(name, availabilityZone));
      }
    }
    await Promise.all(starts);
  }

  /** Starts an entry VM and waits until it is ready. */
  async startVm(name: string, availabilityZone: string): Promise<StartedVm> {
    const [callerPort, peerPort] = pickPorts(2);
    const vm: StartedVm = {
      name,
      availabilityZone,
      callerPort,
      peerPort,
      callerUrl: `http://${host}:${callerPort}`,
    };
    const file = join(this.directory, `${name}.jsonc`);
    await writeFile(file, JSON.stringify(this.createSettings(vm), null, 2));
    const record: VmRecord = {
      vm: name,
      availabilityZone,
      peerAddress: `${host}:${peerPort}`,
    };
    await this.platform.putObject('vm', name, record, 0);
    const args = ['--config', file];
    const {nodeArgs} = this.options;
    this.processes.start(name, ryeworksdProgram, args, nodeArgs);
    await waitUntilReady(`${vm.callerUrl}/readyz`);
    this.vms.push(vm);
    return vm;
  }

  /** Sets the faults of a stand-in or a proxy through its control URL. */
  async setFaults(url: string, faults: object): Promise<void> {
    const response = await request(`${url}/control`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  /** Reads the number of runs of each key at one endpoint. */
  async readEndpointRuns(endpoint: string): Promise<Map<string, number>> {
    const response = await request(`${this.directUrls.get(endpoint)}/runs`);
    const runs = (await response.body.json()) as Record<string, number>;
    return new Map(Object.entries(runs));
  }

  /** Reads the number of runs of each key, summed over all endpoints. */
  async readRuns(): Promise<Map<string, number>> {
    const sums = new Map<string, number>();
    for (const endpoint of this.directUrls.keys()) {
      for (const [key, count] of await this.readEndpointRuns(endpoint)) {
        sums.set(key, (sums.get(key) ?? 0) + count);
      }
    }
    return sums;
  }

  /** Counts the calls to the platform, including watches that still wait. */
  async countPlatformCalls(): Promise<number> {
    const url = this.controlUrls.get('platform-control')!;
    const response = await request(`${url}/control/calls`);
    const calls = (await response.body.json()) as Record<string, number>;
    return Object.values(calls).reduce((sum, count) => sum + count, 0);
  }

  /** Reads the status page of a VM. */
  async readStatus(vm: StartedVm): Promise<VmStatus> {
    const response = await request(`${vm.callerUrl}/status`, {
      headers: {authorization: `Bearer ${operatorKey}`},
    });
    return (await response.body.json()) as VmStatus;
  }

  private createSettings(vm: StartedVm): object {
    const {plan} = this;
    return {
      vm: vm.name,
      availabilityZone: vm.availabilityZone,
      availabilityZones: plan.availabilityZones,
      callerListen: {host, port: vm.callerPort},
      peerListen: {host, port: vm.peerPort},
      peerKey: 'peer-key-of-the-lab',
      operatorKey,
      platform: {url: this.platformUrl, token: 'platform-token-of-the-lab'},
      scheduler: this.options.scheduler ?? {},
      services: [plan.modelService, plan.plainService],
    };
  }

  private async startPlatform(): Promise<void> {
    const [port] = pickPorts(1);
    const args = ['platform', '--host', host, '--port', `${port}`];
    this.processes.start('platform', standinProgram, args);
    const directUrl = `http://${host}:${port}`;
    await waitUntilReady(`${directUrl}/control/calls`);
    this.platformUrl = directUrl;
    this.controlUrls.set('platform-control', directUrl);
    if (this.options.hasPlatformProxy === true) {
      const proxyPort = await this.startProxy('platform', port);
      this.platformUrl = `http://${host}:${proxyPort}`;
    }
    this.platform = createHttpPlatform({url: directUrl, token: ''});
  }

  /** Starts a fault proxy in front of a port. Returns the port of the proxy. */
  private async startProxy(name: string, targetPort: number): Promise<number> {
    const [port, controlPort] = pickPorts(2);
    const args = ['proxy', '--host', host, '--port', `${port}`];
    args.push('--control-port', `${controlPort}`);
    args.push('--target-port', `${targetPort}`);
    this.processes.start(`proxy-${name}`, standinProgram, args);
    const controlUrl = `http://${host}:${controlPort}`;
    this.controlUrls.set(name, controlUrl);
    await waitUntilReady(`http://${host}:${port}/version`);
    return port;
  }

  private async startEngine(
    name: string,
    version: string,
    availabilityZone: string,
    generation: number,
  ): Promise<void> {
    const [port] = pickPorts(1);
    const args = ['engine', '--host', host, '--port', `${port}`];
    args.push('--engine-version', version, '--generation', `${generation}`);
    this.processes.start(name, standinProgram, args);
    const directUrl = `http://${host}:${port}`;
    await waitUntilReady(`${directUrl}/version`);
    this.directUrls.set(name, directUrl);
    let address = directUrl;
    if (this.options.hasEngineProxies === true) {
      address = `http://${host}:${await this.startProxy(name, port)}`;
    }
    await this.addEndpoint({
      endpoint: name,
      service: this.plan.modelService.service,
      kind: 'model',
      version,
      availabilityZone,
      address,
      engine: `generation-${generation}`,
      generation,
      state: 'live',
      checksFencing: true,
      canResume: true,
    });
  }

  private async startService(
    name: string,
    availabilityZone: string,
  ): Promise<void> {
    const [port] = pickPorts(1);
    const args = ['service', '--host', host, '--port', `${port}`];
    this.processes.start(name, standinProgram, args);
    const address = `http://${host}:${port}`;
    await waitUntilReady(`${address}/runs`);
    this.directUrls.set(name, address);
    await this.addEndpoint({
      endpoint: name,
      service: this.plan.plainService.service,
      kind: 'plain',
      version: 'v1',
      availabilityZone,
      address,
      engine: 'plain',
      generation: 1,
      state: 'live',
      checksFencing: false,
      canResume: false,
    });
  }

  private async addEndpoint(endpoint: Endpoint): Promise<void> {
    this.endpoints.push(endpoint);
    await this.platform.putObject('endpoint', endpoint.endpoint, endpoint, 0);
  }

  private async writeOperatorLists(): Promise<void> {
    const {plan, platform} = this;
    await platform.putObject('config', 'plans', createPlansList(plan), 0);
    const allowances = createAllowancesList(plan);
    await platform.putObject('config', 'allowances', allowances, 0);
    await platform.putObject('config', 'moves', {moves: []}, 0);
  }

  private async startVms(): Promise<void> {
    const {plan} = this;
    const starts: Promise<StartedVm>[] = [];
    for (const availabilityZone of plan.availabilityZones) {
      for (let index = 0; index < plan.vmsPerZone; index++) {
        const name = `vm-${availabilityZone}-${index}`;
        starts.push(this.startVm(name, availabilityZone));
      }
    }
    await Promise.all(starts);
    this.vms.sort((a, b) => (a.name < b.name ? -1 : 1));
  }
}

/** The fields of a VM's status page that the lab reads. */
export interface VmStatus {
  readonly documents: Readonly<Record<string, number>>;
  readonly activeRequests: number;
  readonly claimsComplete: boolean;
  readonly withdrawn: Readonly<Record<string, unknown>>;
  readonly members: readonly {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly status: string;
  }[];
  readonly counters: Readonly<Record<string, number>>;
  readonly process: {
    readonly cpuMs: number;
    readonly rssBytes: number;
    readonly heapUsedBytes: number;
    readonly peerBytes: {readonly read: number; readonly written: number};
  };
}
