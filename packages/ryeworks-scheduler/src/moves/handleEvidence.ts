import {VersionMove} from '@ryeworks/types';
import {Effect} from '../effect.js';
import {createGossip} from '../membership/gossip.js';
import {
  createMemberUpdate,
  getOwnerCandidates,
  rankOwners,
} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {
  EvidenceReport,
  EvidenceSummary,
  Ping,
  Verdict,
} from '../peerMessage.js';
import {applyVerdict} from './applyVerdict.js';
import {RouteTest} from './movesState.js';
import {parseCountsKey} from './recordObservation.js';
import {
  addObservations,
  estimateFailureRates,
  slowBlockRates,
} from '@ryeworks/utils';
import {
  addToBlock,
  createSlownessBlock,
  isNewVersionSlow,
  isBlockOver,
} from './slownessBlock.js';

/** Time between two evidence reports, in ms. */
const reportPeriodMs = 200;

/** Finds a move by name. */
function findMove(
  state: SchedulerState,
  name: string,
): VersionMove | undefined {
  const {moves} = state.documents.contents.moves;
  return moves.find(move => move.move === name);
}

/** Returns the member that is the leader of all moves. */
export function getMovesLeader(state: SchedulerState): string {
  return rankOwners(state.membership, 'moves')[0];
}

/** Reports the new observations of each move to its owner in the zone. */
export function reportEvidence(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {membership, moves, options, timers} = state;
  timers.set('reportEvidence', '', nowMs + reportPeriodMs);
  const effects: Effect[] = [];
  for (const [key, counts] of moves.unreportedCounts) {
    const {move, onNewVersion, route} = parseCountsKey(key);
    const owners = rankOwners(
      membership,
      `move/${move}`,
      options.availabilityZone,
    );
    effects.push(
      createSendPeer(state, owners[0], {
        kind: 'evidenceReport',
        move,
        route,
        onNewVersion,
        ...counts,
      }),
    );
  }
  moves.unreportedCounts.clear();
  return effects;
}

/** Returns the tests of one route during a move, created on first use. */
function getRouteTest(
  state: SchedulerState,
  key: string,
  nowMs: number,
): RouteTest {
  const existing = state.moves.tests.get(key);
  if (existing !== undefined) return existing;
  const test: RouteTest = {
    old: {observed: 0, failed: 0, slow: 0},
    new: {observed: 0, failed: 0, slow: 0},
    failures: {sum: 0},
    slowness: {sum: 0},
    block: createSlownessBlock(nowMs),
  };
  state.moves.tests.set(key, test);
  return test;
}

/** Adds the failures of a report; returns whether there are too many. */
function detectFailures(
  test: RouteTest,
  report: EvidenceReport,
): 'failures' | undefined {
  const {observed, failed} = report;
  const failureRates = estimateFailureRates(test.old.observed, test.old.failed);
  if (addObservations(test.failures, observed, failed, failureRates)) {
    return 'failures';
  }
  return undefined;
}

/**
 * Adds a report to the current slowness block. If the previous block has ended,
 * its result is added to the test. Returns whether the new version is too slow.
 */
function detectSlowness(
  test: RouteTest,
  report: EvidenceReport,
  nowMs: number,
): 'slowness' | undefined {
  let isSlow: boolean | undefined;
  if (isBlockOver(test.block, nowMs)) {
    isSlow = isNewVersionSlow(test.block);
    test.block = createSlownessBlock(nowMs);
  }
  addToBlock(test.block, report);
  if (isSlow === undefined) return undefined;
  const bad = isSlow ? 1 : 0;
  const isAlarm = addObservations(test.slowness, 1, bad, slowBlockRates);
  return isAlarm ? 'slowness' : undefined;
}

/**
 * Sends a verdict to every VM at once. VMs that miss the message receive the
 * verdict by gossip.
 */
function sendVerdictToAll(state: SchedulerState, verdict: Verdict): Effect[] {
  const {membership, options} = state;
  const self = membership.members.get(options.vm)!;
  const effects: Effect[] = [];
  for (const vm of getOwnerCandidates(membership)) {
    if (vm === options.vm) continue;
    const ping: Ping = {
      kind: 'ping',
      sequence: ++membership.sequence,
      full: false,
      sender: createMemberUpdate(self),
      ...createGossip(state),
      verdicts: [verdict],
    };
    effects.push(createSendPeer(state, vm, ping));
  }
  return effects;
}

/**
 * Adds a report to the zone's tests. Withdraws the move if they find its new
 * version bad.
 */
export function handleEvidenceReport(
  state: SchedulerState,
  _from: string,
  message: EvidenceReport,
  nowMs: number,
): Effect[] {
  const {moves, options} = state;
  const {move, route, onNewVersion} = message;
  if (moves.withdrawn.has(move)) return [];
  const test = getRouteTest(state, `${move}|${route}`, nowMs);
  const counts = onNewVersion ? test.new : test.old;
  counts.observed += message.observed;
  counts.failed += message.failed;
  counts.slow += message.slow;
  const slowness = detectSlowness(test, message, nowMs);
  const failures = onNewVersion ? detectFailures(test, message) : undefined;
  const symptom = failures ?? slowness;
  const effects = onNewVersion ? summarizeEvidence(state, move) : [];
  if (symptom === undefined) return effects;
  const bad = symptom === 'failures' ? test.new.failed : test.new.slow;
  const verdict: Verdict = {
    move,
    symptom,
    route,
    observed: test.new.observed,
    bad,
    availabilityZone: options.availabilityZone,
  };
  return [
    ...effects,
    ...applyVerdict(state, verdict, nowMs),
    ...sendVerdictToAll(state, verdict),
  ];
}

/** Reports the zone's number of calls to the new version to the leader. */
function summarizeEvidence(state: SchedulerState, move: string): Effect[] {
  const versionMove = findMove(state, move);
  if (versionMove === undefined) return [];
  let observedNew = 0;
  for (const [key, test] of state.moves.tests) {
    if (key.startsWith(`${move}|`)) observedNew += test.new.observed;
  }
  const summary: EvidenceSummary = {
    kind: 'evidenceSummary',
    move,
    availabilityZone: state.options.availabilityZone,
    step: versionMove.step,
    observedNew,
  };
  return [createSendPeer(state, getMovesLeader(state), summary)];
}

/** Stores a zone's number of calls to the new version, at the leader. */
export function handleEvidenceSummary(
  state: SchedulerState,
  _from: string,
  message: EvidenceSummary,
): Effect[] {
  const {progress} = state.moves;
  const moveProgress = progress.get(message.move) ?? {
    observedByZone: new Map<string, number>(),
    observedAtStep: 0,
    step: 0,
  };
  moveProgress.observedByZone.set(
    message.availabilityZone,
    message.observedNew,
  );
  progress.set(message.move, moveProgress);
  return [];
}
