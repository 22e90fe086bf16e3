import {aerolithPlan} from '../../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../../harness/scenarioHarness.js';
import {createLineFit, LineFit} from './createLineFit.js';

const seed = 1;
const windowStartMs = 60_000;
const windowMs = 20_000;

/** Mechanisms and the messages that carry each. */
export const messageGroups = {
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

/** One mechanism that sends messages. */
export type MessageGroup = keyof typeof messageGroups;

/** Messages that one VM sends in a second, by mechanism. */
export type MessageRates = Record<
  MessageGroup,
  {messages: number; bytes: number}
>;

/** Runs a harness and counts the messages that a VM sends in a second. */
function countMessageRates(
  harness: ScenarioHarness,
  load: () => void,
): MessageRates {
  harness.runUntil(windowStartMs);
  harness.ledger.messages.clear();
  load();
  harness.runUntil(windowStartMs + windowMs);
  const perVm = harness.vms.size * (windowMs / 1000);
  const rates = {} as MessageRates;
  for (const [group, kinds] of Object.entries(messageGroups)) {
    const sums = {messages: 0, bytes: 0};
    for (const kind of kinds) {
      const counted = harness.ledger.messages.get(kind);
      sums.messages += (counted?.count ?? 0) / perVm;
      sums.bytes += (counted?.bytes ?? 0) / perVm;
    }
    rates[group as MessageGroup] = sums;
  }
  return rates;
}

/** Counts messages in a fleet of some size under some load. */
function measureMessageRates(
  vmsPerZone: number,
  callsPerVm: number,
): MessageRates {
  const plan = {...aerolithPlan, vmsPerZone, enginesPerZone: [2, 2, 2]};
  const harness = new ScenarioHarness({plan, seed, countsMessages: true});
  const callsPerSecond = callsPerVm * harness.vms.size;
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

/** Messages and bytes that a VM sends, against what drives them. */
export interface MessageCosts {
  /** Of membership, against the number of VMs; a second. */
  readonly membershipMessages: LineFit;
  readonly membershipBytes: LineFit;
  /** Of each mechanism, against the calls a second of a VM. */
  readonly perCall: Record<MessageGroup, {messages: LineFit; bytes: LineFit}>;
}

/** Measures the messages between VMs. */
export function measureMessageCosts(): MessageCosts {
  const idle = [1, 2, 4, 8].map(
    vmsPerZone => [vmsPerZone * 4, measureMessageRates(vmsPerZone, 0)] as const,
  );
  const loaded = [2, 5, 10].map(
    callsPerVm => [callsPerVm, measureMessageRates(4, callsPerVm)] as const,
  );
  const perCall = {} as MessageCosts['perCall'];
  for (const group of Object.keys(messageGroups) as MessageGroup[]) {
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

/** Measures messages and time that follow the death of a VM. */
export function measureVmDeath(): {
  detectionMs: number;
  bytesPerVm: LineFit;
} {
  let detectionMs = 0;
  const points: [number, number][] = [];
  for (const vmsPerZone of [2, 4, 8]) {
    const plan = {...aerolithPlan, vmsPerZone};
    const harness = new ScenarioHarness({plan, seed, countsMessages: true});
    const quiet = countMessageRates(harness, () => {});
    const killed = 'lowland-1-0';
    const killedMs = harness.events.nowMs;
    harness.ledger.messages.clear();
    harness.killVm(killed);
    const seen = new Map<string, number>();
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 50) {
      harness.runUntil(killedMs + elapsedMs);
      for (const {vm, isDead, state} of harness.vms.values()) {
        const status = state.membership.members.get(killed)?.status;
        if (isDead || seen.has(vm) || status !== 'unreachable') continue;
        seen.set(vm, elapsedMs);
      }
    }
    detectionMs = Math.max(detectionMs, ...seen.values());
    let bytes = 0;
    for (const sums of harness.ledger.messages.values()) bytes += sums.bytes;
    const usual = quiet.membership.bytes * 10;
    points.push([harness.vms.size, bytes / harness.vms.size - usual]);
  }
  return {detectionMs, bytesPerVm: createLineFit(points)};
}
