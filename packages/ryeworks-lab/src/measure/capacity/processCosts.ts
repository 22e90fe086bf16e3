import {Deployment} from '../../deployment/deployment.js';
import {aerolithPlan, DeploymentPlan} from '../../deployment/deploymentPlan.js';
import {runLoad} from '../../load/runLoad.js';

/** Time for a started deployment to settle, in ms. */
const settleMs = 15_000;
/** Time over which costs are taken, in ms. */
const windowMs = 10_000;
const seed = 3;

/** Cost of one entry VM, as a mean over all of them. */
export interface ProcessCost {
  readonly vms: number;
  readonly availabilityZones: number;
  readonly callsPerSecondPerVm: number;
  /** Processor time a second, in ms. */
  readonly cpuMsPerSecond: number;
  /** Bytes to and from peers a second. */
  readonly peerBytesPerSecond: number;
  readonly rssBytes: number;
  readonly heapUsedBytes: number;
  /** Platform calls a second by the whole deployment. */
  readonly platformCallsPerSecond: number;
}

/** Sums of what the VMs have used so far. */
interface UsageSums {
  cpuMs: number;
  peerBytes: number;
  rssBytes: number;
  heapUsedBytes: number;
  platformCalls: number;
}

/** Reads what the VMs and the platform have used so far. */
async function readUsage(deployment: Deployment): Promise<UsageSums> {
  const sums = {
    cpuMs: 0,
    peerBytes: 0,
    rssBytes: 0,
    heapUsedBytes: 0,
    platformCalls: await deployment.countPlatformCalls(),
  };
  for (const vm of deployment.vms) {
    const {process} = await deployment.readStatus(vm);
    sums.cpuMs += process.cpuMs;
    // Each connection is counted once, at the VM that accepted it.
    sums.peerBytes += process.peerBytes.read + process.peerBytes.written;
    sums.rssBytes += process.rssBytes;
    sums.heapUsedBytes += process.heapUsedBytes;
  }
  return sums;
}

/** What to start and how much to load it. */
export interface ProcessCostOptions {
  readonly availabilityZones: number;
  readonly vmsPerZone: number;
  readonly callsPerSecond: number;
}

/** Starts real processes and measures what an entry VM costs. */
export async function measureProcessCost(
  options: ProcessCostOptions,
): Promise<ProcessCost> {
  const zones = aerolithPlan.availabilityZones;
  const plan: DeploymentPlan = {
    ...aerolithPlan,
    availabilityZones: zones.slice(0, options.availabilityZones),
    vmsPerZone: options.vmsPerZone,
    enginesPerZone: [2, 2],
  };
  const deployment = await Deployment.start(plan);
  try {
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const before = await readUsage(deployment);
    const urls = deployment.vms.map(vm => vm.callerUrl);
    const {callsPerSecond} = options;
    const load =
      callsPerSecond === 0
        ? undefined
        : runLoad({
            plan,
            listUrls: () => urls,
            callsPerSecond,
            durationMs: windowMs,
            seed,
          });
    await new Promise(resolve => setTimeout(resolve, windowMs));
    const after = await readUsage(deployment);
    await load;
    const vms = deployment.vms.length;
    const seconds = windowMs / 1000;
    const perVm = (total: number) => total / vms / seconds;
    return {
      vms,
      availabilityZones: options.availabilityZones,
      callsPerSecondPerVm: callsPerSecond / vms,
      cpuMsPerSecond: perVm(after.cpuMs - before.cpuMs),
      // Every byte is sent by one VM and received by another.
      peerBytesPerSecond: perVm((after.peerBytes - before.peerBytes) * 2),
      rssBytes: after.rssBytes / vms,
      heapUsedBytes: after.heapUsedBytes / vms,
      platformCallsPerSecond:
        (after.platformCalls - before.platformCalls) / seconds,
    };
  } finally {
    await deployment.stop();
  }
}
