import {PlansList} from '@ryeworks/types';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {ScenarioAction} from './scenarioStatements.js';

/** Applies a fault or an operator action to a harness. */
type ActionHandler = (harness: ScenarioHarness, action: ScenarioAction) => void;

/** Returns a copy of the current plans list with higher request limits. */
function createChangedPlans(harness: ScenarioHarness): PlansList {
  const list = harness.platform.getContent('plans');
  const plans = list.plans.map(plan => ({
    ...plan,
    limits: {
      ...plan.limits,
      requestsPerSecond: plan.limits.requestsPerSecond + 1,
    },
  }));
  return {...list, plans};
}

/** The handler of each action, by the verb of the action. */
export const actionHandlers: Readonly<Record<string, ActionHandler>> = {
  killVm: (harness, {vm}) => harness.killVm(vm!),
  stopVm: (harness, {vm}) => {
    const {callers, events, vms} = harness;
    callers.excludedVms.set(vm!, events.nowMs);
    vms.get(vm!)!.submit({kind: 'stopRequested'});
  },
  startVm: (harness, {vm}) => {
    const zone = vm!.slice(0, vm!.lastIndexOf('-'));
    if (harness.vms.get(vm!)?.isDead === false) harness.killVm(vm!);
    harness.callers.excludedVms.delete(vm!);
    harness.startVm(vm!, zone);
  },
  pauseVm: (harness, {vm, durationMs}) => {
    const paused = harness.vms.get(vm!)!;
    paused.pause();
    harness.events.schedule(durationMs!, () => paused.resume());
  },
  resumeVm: (harness, {vm}) => harness.vms.get(vm!)!.resume(),
  cut: (harness, {a, b}) => harness.network.addCut(a!, b!),
  heal: harness => harness.network.clearCuts(),
  loseMessages: (harness, {rate}) => {
    harness.network.lossRate = rate!;
  },
  repeatMessages: (harness, {rate}) => {
    harness.network.duplicateRate = rate!;
  },
  platformDown: harness => {
    harness.platform.isDown = true;
  },
  platformUp: harness => {
    harness.platform.isDown = false;
  },
  platformLoses: (harness, {count}) => {
    harness.platform.loseAnswers += count!;
  },
  slowEndpoint: (harness, {endpoint, factor}) => {
    harness.endpoints.get(endpoint!)!.model.slowdown = factor!;
  },
  silenceEndpoint: (harness, {endpoint}) => {
    harness.endpoints.get(endpoint!)!.isSilent = true;
  },
  unsilenceEndpoint: (harness, {endpoint}) => {
    harness.endpoints.get(endpoint!)!.isSilent = false;
  },
  pauseEndpoint: (harness, {durationMs, endpoint}) =>
    harness.endpoints.get(endpoint!)!.pause(durationMs!),
  crashEndpoint: (harness, {endpoint}) => {
    const target = harness.endpoints.get(endpoint!)!;
    target.isDown = true;
    target.dropListeners();
  },
  leaveEndpoint: (harness, {endpoint}) =>
    harness.platform.updateEndpoint(endpoint!, {state: 'leaving'}),
  startVersion: (harness, {version}) => {
    const {plan} = harness.options;
    harness.addEndpoints(version!, plan.enginesPerZone, 0);
  },
  badVersion: (harness, action) => {
    for (const {endpoint, model} of harness.endpoints.values()) {
      if (endpoint.version !== action.version) continue;
      model.faults = {
        failRate: action.failRate ?? 0,
        slowFactor: action.slowFactor ?? 1,
        afterCalls: action.afterCalls ?? 0,
        fromBatch: action.fromBatch ?? 0,
        route: action.route ?? '',
      };
    }
  },
  startMove: (harness, {version, durationMs}) => {
    const {events, options, platform} = harness;
    const {moves} = platform.getContent('moves');
    const service = options.plan.modelService.service;
    const move = {
      move: `move-${moves.length + 1}`,
      service,
      fromVersion: 'v1',
      toVersion: version!,
      startedAtMs: events.nowMs,
      deadlineAtMs: events.nowMs + durationMs!,
      phase: 'moving' as const,
      step: 0,
      share: 0.01,
      stepAtMs: events.nowMs,
      late: false,
    };
    platform.setContent('moves', {moves: [...moves, move]});
  },
  changePlans: harness => {
    harness.platform.setContent('plans', createChangedPlans(harness));
  },
  operatorsRace: harness => {
    const {version} = harness.platform.readDocument('plans');
    const changed = JSON.stringify(createChangedPlans(harness));
    const results = [
      harness.platform.writeDocument('plans', version, changed),
      harness.platform.writeDocument('plans', version, changed),
    ];
    const accepted = results.filter(write => write.result === 'ok').length;
    harness.callers.lostUpdates += accepted - 1;
  },
};
