import {CallRecord} from '../harness/callLedger.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {MetricQualifiers} from './scenarioStatements.js';

/** Time after its deadline within which a call must be answered, in ms. */
const answerGraceMs = 250;
/**
 * Grace period in which a waiting call of the highest tier may still be
 * granted, in ms. Dispatches of lower tiers count as inversions only after it.
 */
const inversionGraceMs = 200;
/**
 * Time in which the verdict to withdraw a version must reach every VM that is
 * connected, in ms.
 */
const verdictGraceMs = 2000;

/**
 * Margin before the deadline of a call, in ms. A refusal within the margin or
 * later counts as held back: it should have been sent at once.
 */
const heldBackMarginMs = 20;

/** Computes one metric of a finished run. */
type Metric = (
  harness: ScenarioHarness,
  qualifiers: MetricQualifiers,
) => number;

/** Lists the calls that match the qualifiers. */
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

/** Counts the dispatches that match the qualifiers. */
function countDispatches(
  {ledger}: ScenarioHarness,
  qualifiers: MetricQualifiers,
): number {
  const {version, endpoint, sinceMs = 0, untilMs = Infinity} = qualifiers;
  let count = 0;
  for (const dispatch of ledger.dispatches) {
    if (version !== undefined && dispatch.version !== version) continue;
    if (endpoint !== undefined && dispatch.endpoint !== endpoint) continue;
    if (dispatch.atMs >= sinceMs && dispatch.atMs <= untilMs) count += 1;
  }
  return count;
}

/** Counts the extra runs of calls that may run only once. */
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

/** Counts the calls that ran although their answers said `not-run`. */
function countWrongNotRun(harness: ScenarioHarness): number {
  let wrong = 0;
  for (const call of harness.ledger.calls) {
    if (call.key === '' || call.answers.length === 0) continue;
    const isAllNotRun = call.answers.every(answer => answer.ran === 'not-run');
    if (isAllNotRun && harness.countRuns(call.key) > 0) wrong += 1;
  }
  return wrong + harness.callers.wrongNotRun;
}

/**
 * Counts the calls of the highest tier that were shed while the same service
 * served a lower tier.
 */
function countInversions({ledger}: ScenarioHarness): number {
  const lowerTierDispatches = ledger.dispatches.filter(
    dispatch => dispatch.tier > 1,
  );
  let inversions = 0;
  for (const call of ledger.calls) {
    if (call.kind.tier !== 1) continue;
    const shed = call.answers.find(answer => answer.outcome === 'overloaded');
    if (shed === undefined) continue;
    const fromMs = call.startedMs + inversionGraceMs;
    const isInverted = lowerTierDispatches.some(
      dispatch =>
        dispatch.atMs >= fromMs &&
        dispatch.atMs < shed.atMs &&
        ledger.callByRequestId.get(dispatch.requestId)?.kind.service ===
          call.kind.service,
    );
    if (isInverted) inversions += 1;
  }
  return inversions;
}

/**
 * Returns the longest time in ms from a change of the plans list until a VM
 * applied that version or a newer one. The time counts from the start of a VM
 * that started later, and from the end of a pause if the change occurred in it.
 */
function getApplyDelayMs({ledger, vms}: ScenarioHarness): number {
  let longestMs = 0;
  for (const [changedKey, changedMs] of ledger.documentChangedAtMs) {
    const [name, version] = changedKey.split('@');
    if (name !== 'plans' || changedMs === 0) continue;
    for (const vm of vms.values()) {
      if (vm.isDead) continue;
      let firstAppliedMs = Infinity;
      for (const [appliedKey, byVm] of ledger.appliedAtMs) {
        const [appliedName, appliedVersion] = appliedKey.split('@');
        if (appliedName !== name || Number(appliedVersion) < Number(version)) {
          continue;
        }
        firstAppliedMs = Math.min(firstAppliedMs, byVm.get(vm.vm) ?? Infinity);
      }
      const isInPause =
        changedMs >= vm.lastPausedAtMs && changedMs <= vm.lastResumedAtMs;
      const countedFromMs = Math.max(
        changedMs,
        vm.startedMs,
        isInPause ? vm.lastResumedAtMs : 0,
      );
      longestMs = Math.max(longestMs, firstAppliedMs - countedFromMs);
    }
  }
  return longestMs;
}

/**
 * Counts the dispatches to a withdrawn version after the time by which every VM
 * should have received the verdict.
 */
function countDispatchesAfterVerdict(harness: ScenarioHarness): number {
  const {ledger, platform} = harness;
  let count = 0;
  for (const move of platform.getContent('moves').moves) {
    const receivedAtMs = ledger.verdictAtMs.get(move.move);
    if (receivedAtMs === undefined) continue;
    const firstReceivedMs = Math.min(...receivedAtMs.values());
    for (const dispatch of ledger.dispatches) {
      if (dispatch.version !== move.toVersion) continue;
      if (dispatch.atMs > firstReceivedMs + verdictGraceMs) count += 1;
    }
  }
  return count;
}

/**
 * Counts the dispatches to a withdrawn version by VMs that had received the
 * verdict.
 */
function countDispatchesAfterReceivedVerdict(harness: ScenarioHarness): number {
  const {ledger, platform} = harness;
  let count = 0;
  for (const move of platform.getContent('moves').moves) {
    const receivedAtMs = ledger.verdictAtMs.get(move.move);
    for (const dispatch of ledger.dispatches) {
      const vmReceivedAtMs = receivedAtMs?.get(dispatch.vm) ?? Infinity;
      if (dispatch.version === move.toVersion && dispatch.atMs > vmReceivedAtMs)
        count += 1;
    }
  }
  return count;
}

/** Counts the moves in a phase. */
function countMoves(harness: ScenarioHarness, phase: string): number {
  const {moves} = harness.platform.getContent('moves');
  return moves.filter(move => move.phase === phase).length;
}

/** The metrics that a scenario can state expectations of, by name. */
export const metrics: Readonly<Record<string, Metric>> = {
  calls: (harness, qualifiers) => listCalls(harness, qualifiers).length,
  goodput: (harness, qualifiers) => {
    const calls = listCalls(harness, qualifiers);
    const inTime = calls.filter(call => harness.ledger.wasAnsweredInTime(call));
    return calls.length === 0 ? 1 : inTime.length / calls.length;
  },
  'first token': (harness, qualifiers) => {
    const withToken = listCalls(harness, qualifiers).filter(
      call => call.firstTokenMs > 0,
    );
    const delaysMs = withToken.map(call => call.firstTokenMs - call.startedMs);
    return getPercentile(delaysMs, 95);
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
      dispatch =>
        harness.endpoints.get(dispatch.endpoint)?.endpoint.service ===
        modelService.service,
    ).length;
    const selected = countDispatches(harness, {version, ...rest});
    return total === 0 ? 0 : selected / total;
  },
  'in-force delay': getApplyDelayMs,
  'reverted versions': harness => harness.ledger.revertedVersions,
  'dispatches after verdict': countDispatchesAfterVerdict,
  'dispatches after hearing': countDispatchesAfterReceivedVerdict,
  'withdrawn moves': harness => countMoves(harness, 'withdrawn'),
  'done moves': harness => countMoves(harness, 'done'),
  'lost updates': harness => harness.callers.lostUpdates,
};
