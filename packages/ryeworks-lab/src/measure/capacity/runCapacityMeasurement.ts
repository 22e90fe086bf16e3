import {writeFile} from 'node:fs/promises';
import {writePlot} from '../../report/writePlot.js';
import {createLineFit, LineFit} from './createLineFit.js';
import {DocumentCosts, measureDocumentCosts} from './documentCosts.js';
import {MemoryItem, memoryItems, measureMemory} from './memoryCosts.js';
import {
  measureMessageCosts,
  measureVmDeath,
  MessageCosts,
} from './messageCosts.js';
import {measurePeerLinkCost} from './peerLinkCosts.js';
import {measureProcessCost, ProcessCost} from './processCosts.js';

/** The figures from which docs/CAPACITY.md is generated. */
export interface CapacityReport {
  readonly processes: readonly ProcessCost[];
  /** Processor ms per second of an idle VM, against the VMs of its zone. */
  readonly idleCpuMs: LineFit;
  /** Peer bytes per second of an idle VM, against the VMs of its zone. */
  readonly idlePeerBytes: LineFit;
  /** Processor ms per second of a VM, against its calls per second. */
  readonly callCpuMs: LineFit;
  /** Peer bytes per second of a VM, against its calls per second. */
  readonly callPeerBytes: LineFit;
  /** Platform calls per second, against the number of zones. */
  readonly platformCalls: LineFit;
  /** Resident memory of an idle VM, in bytes. */
  readonly baseRssBytes: number;
  /** Memory in bytes, against the number of items of each kind of state. */
  readonly memory: Record<MemoryItem, LineFit>;
  readonly messages: MessageCosts;
  readonly vmDeath: {
    /** Time until every other VM detected the death, in ms. */
    readonly detectionMs: number;
    /** Additional bytes that a VM sends in 10 s, against the number of VMs. */
    readonly bytesPerVm: LineFit;
  };
  /** Processor ms per second at both ends, against the messages per second. */
  readonly peerLinkMs: LineFit;
  readonly documents: DocumentCosts;
}

/** Measures the cost of an entry VM for several deployments and loads. */
async function measureProcesses(): Promise<ProcessCost[]> {
  const runs = [
    {availabilityZones: 1, vmsPerZone: 2, callsPerSecond: 0},
    {availabilityZones: 1, vmsPerZone: 6, callsPerSecond: 0},
    {availabilityZones: 1, vmsPerZone: 12, callsPerSecond: 0},
    {availabilityZones: 1, vmsPerZone: 18, callsPerSecond: 0},
    {availabilityZones: 2, vmsPerZone: 3, callsPerSecond: 0},
    {availabilityZones: 4, vmsPerZone: 2, callsPerSecond: 0},
    {availabilityZones: 2, vmsPerZone: 3, callsPerSecond: 15},
    {availabilityZones: 2, vmsPerZone: 3, callsPerSecond: 30},
    {availabilityZones: 2, vmsPerZone: 3, callsPerSecond: 60},
  ];
  const costs: ProcessCost[] = [];
  for (const run of runs) {
    const cost = await measureProcessCost(run);
    console.log(JSON.stringify(cost));
    costs.push(cost);
  }
  return costs;
}

/**
 * Runs all capacity measurements and writes them to `capacity.json` and
 * `capacity.svg`.
 */
export async function runCapacityMeasurement(
  directory: string,
): Promise<boolean> {
  const memory = {} as Record<MemoryItem, LineFit>;
  for (const item of memoryItems) memory[item] = measureMemory(item);
  const messages = measureMessageCosts();
  const vmDeath = measureVmDeath();
  const documents = measureDocumentCosts();
  const peerLinkMs = await measurePeerLinkCost();
  const processes = await measureProcesses();
  const idleCosts = processes.filter(cost => cost.callsPerSecondPerVm === 0);
  const oneZoneCosts = idleCosts.filter(cost => cost.availabilityZones === 1);
  const twoZoneCosts = processes.filter(
    cost => cost.availabilityZones === 2 && cost.vms === 6,
  );
  const report: CapacityReport = {
    processes,
    idleCpuMs: createLineFit(
      oneZoneCosts.map(cost => [cost.vms, cost.cpuMsPerSecond]),
    ),
    idlePeerBytes: createLineFit(
      oneZoneCosts.map(cost => [cost.vms, cost.peerBytesPerSecond]),
    ),
    callCpuMs: createLineFit(
      twoZoneCosts.map(cost => [cost.callsPerSecondPerVm, cost.cpuMsPerSecond]),
    ),
    callPeerBytes: createLineFit(
      twoZoneCosts.map(cost => [
        cost.callsPerSecondPerVm,
        cost.peerBytesPerSecond,
      ]),
    ),
    platformCalls: createLineFit(
      idleCosts.map(cost => [
        cost.availabilityZones,
        cost.platformCallsPerSecond,
      ]),
    ),
    baseRssBytes: oneZoneCosts[0].rssBytes,
    memory,
    messages,
    vmDeath,
    peerLinkMs,
    documents,
  };
  const json = JSON.stringify(report, null, 1);
  await writeFile(`${directory}/capacity.json`, `${json}\n`);
  await writePlot(`${directory}/capacity.svg`, {
    title: 'Peer bytes of a VM',
    x: {field: 'calls', title: 'calls a second of a VM'},
    y: {field: 'bytes', title: 'bytes a second, both ways'},
    series: 'series',
    rows: twoZoneCosts.map(cost => ({
      series: 'measured',
      calls: cost.callsPerSecondPerVm,
      bytes: cost.peerBytesPerSecond,
    })),
  });
  return true;
}
