import {CallRecord} from '../harness/callLedger.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {MetricQualifiers} from './scenarioStatements.js';

/** Time after its deadline by which a call must have its answer, in ms. */
const answerGraceMs = 250;
/** Time in which a waiting call of the highest tier may still be granted. */
const inversionGraceMs = 200;
/** Time for a verdict to reach every VM that can hear it, in ms. */
const verdictGraceMs = 2000;

/** A refusal this short before the deadline was held back, in ms. */
const heldBackMarginMs = 20;

/** Computes one number of a finished run. */
type Metric = (
  harness: ScenarioHarness,
  qualifiers: MetricQualifiers,
) => number;

/** Lists the calls that the qualifiers select. */
function listCalls(
  {ledger}: ScenarioHarness,
  {tier, sinceMs = 0, untilMs = Infinity}: MetricQualifiers,
): CallRecord[] {
  return ledger.calls.filter(
    call =>
      (tier === undefined || call.kind.tier === tier) &&
      call.startedMs >= sinceMs &&
      call.startedMs <= untilMs,
  );
}

/** Counts the dispatches that the qualifiers select. */
function countDispatches(
  {ledger}: ScenarioHarness,
  qualifiers: MetricQualifiers,
): number {
  const {version, endpoint, sinceMs = 0, untilMs = Infinity} = qualifiers;
  let count = 0;
  for (const one of ledger.dispatches) {
    if (version !== undefined && one.version !== version) continue;
    if (endpoint !== undefined && one.endpoint !== endpoint) continue;
    if (one.atMs >= sinceMs && one.atMs <= untilMs) count += 1;
  }
  return count;
}

/** Counts extra runs of calls that may run only once. */
function countDuplicates(harness: ScenarioHarness): number {
  const {ledger, options} = harness;
  let duplicates = 0;
  for (const call of ledger.calls) {
    const isIdempotent =
      call.kind.service === options.plan.plainService.service &&
      call.kind.method === 'GET';
    if (isIdempotent) continue;
    if (call.key !== '') {
      duplicates += Math.max(0, harness.countRuns(call.key) - 1);
      continue;
    }
    for (const {requestId} of call.attempts) {
      duplicates += Math.max(0, harness.countRuns(requestId) - 1);
    }
  }
  return duplicates;
}

/** Counts calls that were told "not run" though they ran. */
function countWrongNotRun(harness: ScenarioHarness): number {
  let wrong = 0;
  for (const call of harness.ledger.calls) {
    if (call.key === '' || call.answers.length === 0) continue;
    const isDenied = call.answers.every(answer => answer.ran === 'not-run');
    if (isDenied && harness.countRuns(call.key) > 0) wrong += 1;
  }
  return wrong + harness.callers.wrongNotRun;
}

/** Counts calls of the highest tier shed while a lower one was served. */
function countInversions({ledger}: ScenarioHarness): number {
  const lower = ledger.dispatches.filter(one => one.tier > 1);
  let inversions = 0;
  for (const call of ledger.calls) {
    if (call.kind.tier !== 1) continue;
    const shed = call.answers.find(one => one.outcome === 'overloaded');
    if (shed === undefined) continue;
    const fromMs = call.startedMs + inversionGraceMs;
    const isInverted = lower.some(
      one =>
        one.atMs >= fromMs &&
        one.atMs < shed.atMs &&
        ledger.callByRequestId.get(one.requestId)?.kind.service ===
          call.kind.service,
    );
    if (isInverted) inversions += 1;
  }
  return inversions;
}

/** Returns the longest time from a change of plans until a VM had it. */
function getApplyDelayMs({ledger, vms}: ScenarioHarness): number {
  let longest = 0;
  for (const [changed, changedMs] of ledger.documentChangedAtMs) {
    const [name, version] = changed.split('@');
    if (name !== 'plans' || changedMs === 0) continue;
    for (const vm of vms.values()) {
      if (vm.isDead) continue;
      let soonestMs = Infinity;
      for (const [known, byVm] of ledger.appliedAtMs) {
        const [knownName, knownVersion] = known.split('@');
        if (knownName !== name || Number(knownVersion) < Number(version)) {
          continue;
        }
        soonestMs = Math.min(soonestMs, byVm.get(vm.vm) ?? Infinity);
      }
      const isInPause =
        changedMs >= vm.lastPausedAtMs && changedMs <= vm.lastResumedAtMs;
      const expectedFromMs = Math.max(
        changedMs,
        vm.startedMs,
        isInPause ? vm.lastResumedAtMs : 0,
      );
      longest = Math.max(longest, soonestMs - expectedFromMs);
    }
  }
  return longest;
}

/** Counts dispatches to a version by VMs that should have known better. */
function countDispatchesAfterVerdict(harness: ScenarioHarness): number {
  const {ledger, platform} = harness;
  let count = 0;
  for (const move of platform.getContent('moves').moves) {
    const heard = ledger.verdictAtMs.get(move.move);
    if (heard === undefined) continue;
    const firstMs = Math.min(...heard.values());
    for (const one of ledger.dispatches) {
      if (one.version !== move.toVersion) continue;
      if (one.atMs > firstMs + verdictGraceMs) count += 1;
    }
  }
  return count;
}

/** Counts dispatches to a version by VMs that had heard its verdict. */
function countDispatchesAfterReceivedVerdict(harness: ScenarioHarness): number {
  const {ledger, platform} = harness;
  let count = 0;
  for (const move of platform.getContent('moves').moves) {
    const heard = ledger.verdictAtMs.get(move.move);
    for (const one of ledger.dispatches) {
      const heardMs = heard?.get(one.vm) ?? Infinity;
      if (one.version === move.toVersion && one.atMs > heardMs) count += 1;
    }
  }
  return count;
}

/** Counts the moves in a phase. */
function countMoves(harness: ScenarioHarness, phase: string): number {
  const {moves} = harness.platform.getContent('moves');
  return moves.filter(move => move.phase === phase).length;
}

/** Every metric that a scenario can expect something of, by name. */
export const metrics: Readonly<Record<string, Metric>> = {
  calls: (harness, qualifiers) => listCalls(harness, qualifiers).length,
  goodput: (harness, qualifiers) => {
    const calls = listCalls(harness, qualifiers);
    const good = calls.filter(call => harness.ledger.wasAnsweredInTime(call));
    return calls.length === 0 ? 1 : good.length / calls.length;
  },
  'first token': (harness, qualifiers) => {
    const answered = listCalls(harness, qualifiers).filter(
      call => call.firstTokenMs > 0,
    );
    const times = answered.map(call => call.firstTokenMs - call.startedMs);
    return getPercentile(times, 95);
  },
  duplicates: countDuplicates,
  'wrong not-run': countWrongNotRun,
  inversions: countInversions,
  unanswered: harness => {
    const {events, ledger} = harness;
    return ledger.calls.filter(
      call =>
        call.answers.length === 0 &&
        call.startedMs + call.kind.deadlineMs + answerGraceMs < events.nowMs,
    ).length;
  },
  'late answers': harness =>
    harness.ledger.calls.filter(call => {
      if (call.behavior.isRetrying) return false;
      const answer = harness.ledger.getFinalAnswer(call);
      const limitMs = call.startedMs + call.kind.deadlineMs + answerGraceMs;
      return answer !== undefined && answer.atMs > limitMs;
    }).length,
  'held back': harness =>
    harness.ledger.calls.filter(call => {
      if (call.behavior.isRetrying) return false;
      return call.answers.some(
        answer =>
          answer.ran === 'not-run' &&
          answer.atMs - call.startedMs >=
            call.kind.deadlineMs - heldBackMarginMs,
      );
    }).length,
  'cut answers': harness =>
    harness.ledger.calls.filter(call =>
      call.answers.some(
        answer =>
          answer.outcome === 'lost' || answer.outcome === 'outcomeUnknown',
      ),
    ).length,
  dispatches: countDispatches,
  share: (harness, qualifiers) => {
    const {version, ...rest} = qualifiers;
    const {modelService} = harness.options.plan;
    const total = harness.ledger.dispatches.filter(
      one =>
        harness.endpoints.get(one.endpoint)?.endpoint.service ===
        modelService.service,
    ).length;
    const part = countDispatches(harness, {version, ...rest});
    return total === 0 ? 0 : part / total;
  },
  'in-force delay': getApplyDelayMs,
  'reverted versions': harness => harness.ledger.revertedVersions,
  'dispatches after verdict': countDispatchesAfterVerdict,
  'dispatches after hearing': countDispatchesAfterReceivedVerdict,
  'withdrawn moves': harness => countMoves(harness, 'withdrawn'),
  'done moves': harness => countMoves(harness, 'done'),
  'lost updates': harness => harness.callers.lostUpdates,
};
