import {LineFit} from './createLineFit.js';
import {MessageMechanism} from './messageCosts.js';
import type {CapacityReport} from './runCapacityMeasurement.js';
import {controlBudget, platformBudget, targetSize} from './targetSize.js';

/** Calls per second of one VM at the target size. */
const callsPerSecondPerVm = targetSize.requestsPerSecond / targetSize.vms;
const vmsPerZone = targetSize.vms / targetSize.availabilityZones;
const secondsPerDay = 86_400;
/** Time for which a claim is kept, in s. */
const claimWindowSeconds = 120;
/** Assumed time for which a request waits and runs, in s. */
const requestSeconds = 2;
/** Writes of zone status per second: one every 5 s for each zone. */
const statusWritesPerSecond = targetSize.availabilityZones / 5;

/** Returns the value of a fitted line at x. */
function getFittedValue(fit: LineFit, x: number): number {
  return fit.intercept + fit.slope * x;
}

/** Formats a number with a few significant digits. */
function formatNumber(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 2;
  return value.toFixed(digits);
}

/** Formats a row of a markdown table. */
function formatRow(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

/** Formats a markdown table. */
function formatTable(
  columns: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const separator = formatRow(columns.map(() => '---'));
  return [formatRow(columns), separator, ...rows.map(formatRow)].join('\n');
}

/** Formats a fitted line as the cells of a row of the slope table. */
function formatFitRow(name: string, unit: string, fit: LineFit): string[] {
  const points = fit.points
    .map(([x, y]) => `${formatNumber(x)}: ${formatNumber(y)}`)
    .join('; ');
  return [
    name,
    `${formatNumber(fit.slope)} ${unit}`,
    formatNumber(fit.intercept),
    `${formatNumber(fit.error * 100)} %`,
    points,
  ];
}

/** Creates the table of measured slopes, with intercepts and errors. */
function createSlopeTable(report: CapacityReport): string {
  const {memory, messages} = report;
  const rows = [
    formatFitRow('idle CPU by VMs of a zone', 'ms/s per VM', report.idleCpuMs),
    formatFitRow('idle peer bytes by VMs', 'B/s per VM', report.idlePeerBytes),
    formatFitRow('CPU by calls/s of a VM', 'ms per call', report.callCpuMs),
    formatFitRow('peer bytes by calls/s', 'B per call', report.callPeerBytes),
    formatFitRow('platform calls by zones', 'calls/s', report.platformCalls),
    formatFitRow(
      'membership bytes by VMs',
      'B/s per VM',
      messages.membershipBytes,
    ),
    formatFitRow('CPU of a peer message, both ends', 'ms', report.peerLinkMs),
    formatFitRow(
      'plans, compressed, by customers',
      'B',
      report.documents.compressedBytes,
    ),
    formatFitRow('plans applied', 'ms', report.documents.applyMs),
    formatFitRow('memory of a member', 'B', memory.member),
    formatFitRow('memory of an endpoint', 'B', memory.endpoint),
    formatFitRow('memory of a customer', 'B', memory.customer),
    formatFitRow('memory of a claim', 'B', memory.claim),
    formatFitRow('memory of a waiting request', 'B', memory.waitingRequest),
  ];
  const columns = [
    'slope',
    'value',
    'intercept',
    'worst error',
    'points (x: y)',
  ];
  return formatTable(columns, rows);
}

/** Creates the table of messages per call, by mechanism. */
function createMessageTable(report: CapacityReport): string {
  const mechanisms = Object.entries(report.messages.perCall) as [
    MessageMechanism,
    {messages: LineFit; bytes: LineFit},
  ][];
  const rows = mechanisms.map(([mechanism, {messages, bytes}]) => [
    mechanism,
    formatNumber(messages.slope),
    formatNumber(bytes.slope),
    formatNumber(getFittedValue(messages, callsPerSecondPerVm)),
    formatNumber(getFittedValue(bytes, callsPerSecondPerVm)),
  ]);
  const columns = [
    'mechanism',
    'messages per call',
    'bytes per call',
    'messages/s per VM at the target',
    'bytes/s per VM at the target',
  ];
  return formatTable(columns, rows);
}

/**
 * Estimates the number of claims, including replicas, that a VM holds at the
 * target size, and the memory of each kind of state, in bytes.
 */
function estimateState(report: CapacityReport) {
  const {memory} = report;
  const claimCount = (callsPerSecondPerVm * claimWindowSeconds * 2).toFixed(0);
  return {
    claims: Number(claimCount),
    members: memory.member.slope * targetSize.vms,
    endpoints: memory.endpoint.slope * targetSize.endpoints,
    customers: memory.customer.slope * targetSize.customers,
    claimBytes: memory.claim.slope * Number(claimCount),
    requests:
      memory.waitingRequest.slope * callsPerSecondPerVm * requestSeconds,
  };
}

/** Creates the table of the roles' state and costs at the target size. */
function createRoleTable(report: CapacityReport): string {
  const state = estimateState(report);
  const {perCall} = report.messages;
  const linkMs = report.peerLinkMs.slope;
  const getMessageRate = (mechanism: MessageMechanism) =>
    getFittedValue(perCall[mechanism].messages, callsPerSecondPerVm);
  const formatKilobytes = (bytes: number) => `${formatNumber(bytes / 1000)} kB`;
  const formatMessageCpu = (mechanism: MessageMechanism) =>
    `${formatNumber(getMessageRate(mechanism) * linkMs)} ms/s`;
  const formatMessageRate = (mechanism: MessageMechanism) =>
    `${formatNumber(getMessageRate(mechanism))}/s`;
  const plansBytes = getFittedValue(
    report.documents.compressedBytes,
    targetSize.customers,
  );
  const changeBytes = (plansBytes * targetSize.changesPerDay) / secondsPerDay;
  const applyMs = getFittedValue(
    report.documents.applyMs,
    targetSize.customers,
  );
  const applyPerSecond = (applyMs * targetSize.changesPerDay) / secondsPerDay;
  const rows = [
    [
      'data path of a VM',
      `${formatNumber(callsPerSecondPerVm * requestSeconds)} requests, ${formatKilobytes(state.requests)}`,
      '0 between VMs',
      `${formatNumber(report.callCpuMs.slope * callsPerSecondPerVm)} ms/s, control included`,
      'holder; `requests/`',
    ],
    [
      'admission owner',
      `${formatNumber(targetSize.endpoints / targetSize.vms)} endpoints per VM; all ${targetSize.endpoints} known, ${formatKilobytes(state.endpoints)}`,
      formatMessageRate('grants'),
      formatMessageCpu('grants'),
      'cells, rendezvous hash; `admission/`',
    ],
    [
      'key owner',
      `${state.claims} claims with replicas, ${formatKilobytes(state.claimBytes)}`,
      formatMessageRate('claims'),
      formatMessageCpu('claims'),
      'claims in memory; `claims/`',
    ],
    [
      "owner of the customer's limits",
      `${targetSize.customers} customers known, ${formatKilobytes(state.customers)}`,
      formatMessageRate('limits'),
      formatMessageCpu('limits'),
      'shares by demand; `limits/`',
    ],
    [
      'membership',
      `${targetSize.vms} members, ${formatKilobytes(state.members)}`,
      `${formatNumber(getFittedValue(report.messages.membershipMessages, targetSize.vms))}/s`,
      `${formatNumber(getFittedValue(report.messages.membershipMessages, targetSize.vms) * linkMs)} ms/s`,
      'SWIM; `membership/`',
    ],
    [
      'zone relay, configuration watcher',
      `plans ${formatKilobytes(plansBytes)} compressed`,
      `${formatNumber(changeBytes)} B/s to each VM`,
      `${formatNumber(applyPerSecond)} ms/s, ${formatNumber(applyMs)} ms a change`,
      'two watchers a zone; `documents/`',
    ],
    [
      'moves leader',
      'one document',
      '1 write a step, at most 2/s',
      'below 1 ms/s',
      'conditional update; `moves/`',
    ],
    [
      'platform',
      `${targetSize.vms} + ${targetSize.endpoints} objects and 4 lists`,
      `${formatNumber(getFittedValue(report.platformCalls, targetSize.availabilityZones))} calls/s, of which ${formatNumber(statusWritesPerSecond)} writes/s`,
      '-',
      'object API',
    ],
    ['command line', 'none', '2 calls a command', '-', '`packages/ryeworks`'],
  ];
  const columns = ['role', 'state', 'messages', 'processor', 'mechanism'];
  return formatTable(columns, rows);
}

/** Creates the table of a VM's control-plane costs and their budget. */
function createBudgetTable(report: CapacityReport): string {
  const state = estimateState(report);
  const stateBytes =
    state.members + state.endpoints + state.customers + state.claimBytes;
  const mechanisms = Object.keys(report.messages.perCall) as MessageMechanism[];
  let sentMessages = 0;
  let sentBytes = 0;
  for (const mechanism of mechanisms) {
    if (mechanism === 'membership') continue;
    const {messages, bytes} = report.messages.perCall[mechanism];
    sentMessages += getFittedValue(messages, callsPerSecondPerVm);
    sentBytes += getFittedValue(bytes, callsPerSecondPerVm);
  }
  const idleBytes = getFittedValue(report.idlePeerBytes, vmsPerZone);
  const socketBytes =
    idleBytes + report.callPeerBytes.slope * callsPerSecondPerVm;
  const idleCpuMs = getFittedValue(report.idleCpuMs, vmsPerZone);
  const cpuMs = idleCpuMs + sentMessages * report.peerLinkMs.slope;
  const compareWithBudget = (value: number, budget: number) =>
    value <= budget ? 'within' : '**over**';
  const rows = [
    [
      'processor',
      `idle at ${formatNumber(vmsPerZone)} VMs a zone ${formatNumber(idleCpuMs)} ms/s + ${formatNumber(sentMessages)} messages/s x ${formatNumber(report.peerLinkMs.slope)} ms`,
      `${formatNumber(cpuMs)} ms/s`,
      `${controlBudget.cpuMsPerSecond} ms/s`,
      compareWithBudget(cpuMs, controlBudget.cpuMsPerSecond),
    ],
    [
      'memory that control adds',
      'members + endpoints + customers + claims',
      `${formatNumber(stateBytes / 1e6)} MB`,
      `${controlBudget.memoryBytes / 1e6} MB`,
      compareWithBudget(stateBytes, controlBudget.memoryBytes),
    ],
    [
      'bytes, encoded messages sent, without membership',
      `${formatNumber(callsPerSecondPerVm)} calls/s`,
      `${formatNumber(sentBytes)} B/s`,
      `${controlBudget.bytesPerSecond} B/s`,
      compareWithBudget(sentBytes, controlBudget.bytesPerSecond),
    ],
    [
      'bytes on the sockets, sent',
      `(idle ${formatNumber(idleBytes)} + ${formatNumber(callsPerSecondPerVm)} x ${formatNumber(report.callPeerBytes.slope)}) / 2`,
      `${formatNumber(socketBytes / 2)} B/s`,
      `${controlBudget.bytesPerSecond} B/s`,
      compareWithBudget(socketBytes / 2, controlBudget.bytesPerSecond),
    ],
    [
      'bytes on the sockets, sent and received',
      'twice that',
      `${formatNumber(socketBytes)} B/s`,
      `${controlBudget.bytesPerSecond} B/s`,
      compareWithBudget(socketBytes, controlBudget.bytesPerSecond),
    ],
    [
      'platform calls',
      `${targetSize.availabilityZones} zones`,
      `${formatNumber(getFittedValue(report.platformCalls, targetSize.availabilityZones))}/s`,
      `${platformBudget.readsPerSecond}/s`,
      compareWithBudget(
        getFittedValue(report.platformCalls, targetSize.availabilityZones),
        platformBudget.readsPerSecond,
      ),
    ],
  ];
  const columns = ['resource', 'calculation', 'at the target', 'budget', ''];
  return formatTable(columns, rows);
}

/** Creates the tables of docs/CAPACITY.md from the measured figures. */
export function createCapacityTables(report: CapacityReport): string {
  const base = formatNumber(report.baseRssBytes / 1e6);
  const detection = formatNumber(report.vmDeath.detectionMs / 1000);
  return [
    '### Control of one VM against its budget',
    '',
    createBudgetTable(report),
    '',
    '### Each role',
    '',
    createRoleTable(report),
    '',
    '### Messages between VMs',
    '',
    createMessageTable(report),
    '',
    '### Measured slopes',
    '',
    createSlopeTable(report),
    '',
    `Resident memory of an idle process: ${base} MB. Every other VM detected ` +
      `the death of a VM within ${detection} s, at up to 32 VMs.`,
  ].join('\n');
}
