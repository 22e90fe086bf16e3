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

/** Everything that docs/CAPACITY.md is worked out from. */
export interface CapacityReport {
  readonly processes: readonly ProcessCost[];
  /** Of an idle VM against the VMs of its zone. */
  readonly idleCpuMs: LineFit;
  readonly idlePeerBytes: LineFit;
  /** Of a VM against its calls a second. */
  readonly callCpuMs: LineFit;
  readonly callPeerBytes: LineFit;
  /** Platform calls a second against the zones. */
  readonly platformCalls: LineFit;
  readonly baseRssBytes: number;
  readonly memory: Record<MemoryItem, LineFit>;
  readonly messages: MessageCosts;
  readonly vmDeath: {
    readonly detectionMs: number;
    readonly bytesPerVm: LineFit;
  };
  readonly peerLinkMs: LineFit;
  readonly documents: DocumentCosts;
}

/** Runs the measurements with real processes. */
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

/** Measures every slope and writes the figures. */
export async function runCapacityMeasurement(
  directory: string,
): Promise<boolean> {
  const memory = {} as Record<MemoryItem, LineFit>;
  for (const driver of memoryItems) memory[driver] = measureMemory(driver);
  const messages = measureMessageCosts();
  const vmDeath = measureVmDeath();
  const documents = measureDocumentCosts();
  const peerLinkMs = await measurePeerLinkCost();
  const processes = await measureProcesses();
  const idle = processes.filter(one => one.callsPerSecondPerVm === 0);
  const oneZone = idle.filter(one => one.availabilityZones === 1);
  const byCalls = processes.filter(
    one => one.availabilityZones === 2 && one.vms === 6,
  );
  const report: CapacityReport = {
    processes,
    idleCpuMs: createLineFit(oneZone.map(one => [one.vms, one.cpuMsPerSecond])),
    idlePeerBytes: createLineFit(
      oneZone.map(one => [one.vms, one.peerBytesPerSecond]),
    ),
    callCpuMs: createLineFit(
      byCalls.map(one => [one.callsPerSecondPerVm, one.cpuMsPerSecond]),
    ),
    callPeerBytes: createLineFit(
      byCalls.map(one => [one.callsPerSecondPerVm, one.peerBytesPerSecond]),
    ),
    platformCalls: createLineFit(
      idle.map(one => [one.availabilityZones, one.platformCallsPerSecond]),
    ),
    baseRssBytes: oneZone[0].rssBytes,
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
    rows: byCalls.map(one => ({
      series: 'measured',
      calls: one.callsPerSecondPerVm,
      bytes: one.peerBytesPerSecond,
    })),
  });
  return true;
}
