import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';
import {createTable} from '../report/createTable.js';

/** Time until the fleet is measured, and for which it is, in ms. */
const warmUpMs = 2500;
const measuredMs = 3000;
const limitPerSecond = 2;
const seed = 3;
/** Share of a core that control may use, and bytes that a VM may send a second. */
const budget = {processorMsPerSecond: 16, bytesPerSecond: 7000};

/** One measured fleet: its size, its load and its limits. */
interface LimitsCase extends FleetSize {
  /** Number of endpoints that name a limit. */
  readonly limited: number;
  /** Requests per second of each VM. */
  readonly requestsPerVm: number;
}

const cases: readonly LimitsCase[] = [
  {zones: 4, vmsPerZone: 2, endpoints: 16, limited: 2, requestsPerVm: 10},
  {zones: 4, vmsPerZone: 2, endpoints: 16, limited: 16, requestsPerVm: 10},
  {zones: 7, vmsPerZone: 13, endpoints: 49, limited: 7, requestsPerVm: 3},
  {zones: 7, vmsPerZone: 13, endpoints: 49, limited: 49, requestsPerVm: 3},
  {zones: 7, vmsPerZone: 50, endpoints: 70, limited: 7, requestsPerVm: 1},
  {zones: 7, vmsPerZone: 50, endpoints: 70, limited: 70, requestsPerVm: 1},
];

/** What one VM uses in a second. */
interface VmCost {
  readonly processorMs: number;
  readonly messages: number;
  readonly bytes: number;
}

/** Runs a fleet and measures what one VM uses in a second. */
function measureCost(measured: LimitsCase, limited: number): VmCost {
  const fleet: DispatchFleet = createFleet(measured, seed);
  const vms = measured.zones * measured.vmsPerZone;
  const endMs = warmUpMs + measuredMs;
  fleet.startCallers('urgent', vms * measured.requestsPerVm, endMs);
  for (let index = 0; index < limited; index++) {
    fleet.getEndpoint(`e${index}`).setLimit(limitPerSecond, 0);
  }
  fleet.events.runUntil(warmUpMs);
  const before = {...fleet.counts};
  const cpuBefore = process.cpuUsage();
  fleet.countsBytes = true;
  fleet.events.runUntil(endMs);
  const cpu = process.cpuUsage(cpuBefore);
  const vmSeconds = (vms * measuredMs) / 1000;
  return {
    processorMs: (cpu.user + cpu.system) / 1000 / vmSeconds,
    messages: (fleet.counts.messages - before.messages) / vmSeconds,
    bytes: (fleet.counts.messageBytes - before.messageBytes) / vmSeconds,
  };
}

/**
 * Measures what endpoints' rate limits cost a VM: the same fleet with and
 * without them. Processor time includes the stand-ins' and the encoding of
 * messages. Returns whether the limits alone stay within the budget.
 */
export async function runLimitsMeasurement(
  directory: string,
): Promise<boolean> {
  const rows: string[][] = [];
  const figures: object[] = [];
  let isWithinBudget = true;
  for (const measured of cases) {
    const without = measureCost(measured, 0);
    const withLimits = measureCost(measured, measured.limited);
    const processorMs = withLimits.processorMs - without.processorMs;
    const bytes = withLimits.bytes - without.bytes;
    isWithinBudget &&= processorMs <= budget.processorMsPerSecond;
    isWithinBudget &&= bytes <= budget.bytesPerSecond;
    figures.push({...measured, without, withLimits});
    rows.push([
      `${measured.zones * measured.vmsPerZone}`,
      `${measured.endpoints}`,
      `${measured.limited}`,
      processorMs.toFixed(2),
      (withLimits.messages - without.messages).toFixed(1),
      bytes.toFixed(0),
      without.bytes.toFixed(0),
    ]);
  }
  const header = [
    'VMs',
    'endpoints',
    'limited',
    'processor ms/s',
    'messages/s',
    'bytes/s',
    'bytes/s without limits',
  ];
  console.log(createTable(header, rows));
  const file = join(directory, 'limits.json');
  await writeFile(file, `${JSON.stringify(figures, null, 2)}\n`);
  return isWithinBudget;
}
