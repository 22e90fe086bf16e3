import {aerolithPlan} from '../../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../../harness/scenarioHarness.js';
import {createLineFit, LineFit} from './createLineFit.js';

const seed = 1;
/** Virtual time at which the measurement starts, in ms. */
const windowStartMs = 60_000;
/** Length of the measurement, in ms. */
const windowMs = 20_000;

/** The message kinds of each mechanism. */
export const messageKinds = {
  membership: ['ping', 'ack', 'pingRequest', 'indirectAck'],
  grants: [
    'grantAsk',
    'grantQueued',
    'grantOffer',
    'grantRefusal',
    'grantEnd',
    'grantReport',
  ],
  claims: [
    'claimAsk',
    'claimAnswer',
    'claimCopy',
    'claimCopied',
    'claimSync',
    'claimUpdate',
  ],
  limits: ['limitReport', 'limitShares'],
  evidence: ['evidenceReport', 'evidenceSummary'],
  documents: ['documentFetch', 'documentPush'],
} as const;

/** A mechanism that sends messages between VMs. */
export type MessageMechanism = keyof typeof messageKinds;

/** Messages and bytes that a VM sends per second, by mechanism. */
export type MessageRates = Record<
  MessageMechanism,
  {messages: number; bytes: number}
>;

/**
 * Runs a harness with a load and counts the messages and bytes that a VM sends
 * per second, as a mean over all VMs.
 */
function countMessageRates(
  harness: ScenarioHarness,
  startLoad: () => void,
): MessageRates {
  harness.runUntil(windowStartMs);
  harness.ledger.messages.clear();
  startLoad();
  harness.runUntil(windowStartMs + windowMs);
  const vmSeconds = harness.vms.size * (windowMs / 1000);
  const rates = {} as MessageRates;
  for (const [group, kinds] of Object.entries(messageKinds)) {
    const sums = {messages: 0, bytes: 0};
    for (const kind of kinds) {
      const total = harness.ledger.messages.get(kind);
      sums.messages += (total?.count ?? 0) / vmSeconds;
      sums.bytes += (total?.bytes ?? 0) / vmSeconds;
    }
    rates[group as MessageMechanism] = sums;
  }
  return rates;
}

/** Measures the message rates for a number of VMs and a load. */
function measureMessageRates(
  vmsPerZone: number,
  callsPerSecondPerVm: number,
): MessageRates {
  const plan = {...aerolithPlan, vmsPerZone, enginesPerZone: [2, 2, 2]};
  const harness = new ScenarioHarness({plan, seed, countsMessages: true});
  const callsPerSecond = callsPerSecondPerVm * harness.vms.size;
  return countMessageRates(harness, () => {
    for (const kind of plan.calls) {
      harness.callers.startLoad(
        kind,
        callsPerSecond * kind.share,
        windowStartMs + windowMs,
        {isRetrying: false, marksAttempts: true},
      );
    }
  });
}

/** Messages and bytes that a VM sends, against the quantity that causes them. */
export interface MessageCosts {
  /** Messages of membership per second, against the number of VMs. */
  readonly membershipMessages: LineFit;
  /** Bytes of membership per second, against the number of VMs. */
  readonly membershipBytes: LineFit;
  /** Rates per second of each mechanism, against the calls per second of a VM. */
  readonly perCall: Record<
    MessageMechanism,
    {messages: LineFit; bytes: LineFit}
  >;
}

/** Measures the messages between VMs, idle and under load. */
export function measureMessageCosts(): MessageCosts {
  const idle = [1, 2, 4, 8].map(
    vmsPerZone => [vmsPerZone * 4, measureMessageRates(vmsPerZone, 0)] as const,
  );
  const loaded = [2, 5, 10].map(
    callsPerVm => [callsPerVm, measureMessageRates(4, callsPerVm)] as const,
  );
  const perCall = {} as MessageCosts['perCall'];
  for (const group of Object.keys(messageKinds) as MessageMechanism[]) {
    perCall[group] = {
      messages: createLineFit(
        loaded.map(([calls, rates]) => [calls, rates[group].messages]),
      ),
      bytes: createLineFit(
        loaded.map(([calls, rates]) => [calls, rates[group].bytes]),
      ),
    };
  }
  return {
    membershipMessages: createLineFit(
      idle.map(([vms, rates]) => [vms, rates.membership.messages]),
    ),
    membershipBytes: createLineFit(
      idle.map(([vms, rates]) => [vms, rates.membership.bytes]),
    ),
    perCall,
  };
}

/**
 * Measures the time until every VM detects the death of a VM, and the additional
 * bytes that each VM sends in the 10 s after the death.
 */
export function measureVmDeath(): {
  detectionMs: number;
  bytesPerVm: LineFit;
} {
  let detectionMs = 0;
  const points: [number, number][] = [];
  for (const vmsPerZone of [2, 4, 8]) {
    const plan = {...aerolithPlan, vmsPerZone};
    const harness = new ScenarioHarness({plan, seed, countsMessages: true});
    const idleRates = countMessageRates(harness, () => {});
    const killedVm = 'lowland-1-0';
    const killedMs = harness.events.nowMs;
    harness.ledger.messages.clear();
    harness.killVm(killedVm);
    // The time after which each VM detected the death.
    const delaysMs = new Map<string, number>();
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 50) {
      harness.runUntil(killedMs + elapsedMs);
      for (const {vm, isDead, state} of harness.vms.values()) {
        const status = state.membership.members.get(killedVm)?.status;
        if (isDead || delaysMs.has(vm) || status !== 'unreachable') continue;
        delaysMs.set(vm, elapsedMs);
      }
    }
    detectionMs = Math.max(detectionMs, ...delaysMs.values());
    let bytes = 0;
    for (const sums of harness.ledger.messages.values()) bytes += sums.bytes;
    const idleBytes = idleRates.membership.bytes * 10;
    points.push([harness.vms.size, bytes / harness.vms.size - idleBytes]);
  }
  return {detectionMs, bytesPerVm: createLineFit(points)};
}
