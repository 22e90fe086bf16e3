import {callKind} from '@ryeworks/dispatch';
import {errorAnswers, runStatus} from '@ryeworks/types';
import {createFleet} from '../fleet/createFleet.js';
import {callerDeadlineMs, DispatchFleet} from '../fleet/dispatchFleet.js';
import {FleetEndpoint} from '../fleet/fleetEndpoint.js';
import {FleetRequest, isWrongNotRun} from '../fleet/fleetRequest.js';
import {
  getStatements,
  MetricQualifiers,
  ScenarioAction,
  ScenarioStatement,
  StatementOf,
} from './scenarioStatements.js';

/** Name that stands for all endpoints or zones in an action. */
const allName = 'all';

/** Time past its deadline by which a request must be answered, in ms. */
const answerGraceMs = 250;

/** Lists an endpoint, or all of them. */
function listEndpoints(
  {endpoints}: DispatchFleet,
  endpoint: string | undefined,
): FleetEndpoint[] {
  const all = [...endpoints.values()];
  if (endpoint === allName) return all;
  return all.filter(target => target.endpoint.id === endpoint);
}

/** Names a limit at an endpoint, or at all of them; undefined withdraws it. */
function setLimit(
  fleet: DispatchFleet,
  endpoint: string | undefined,
  perSecond: number | undefined,
): void {
  for (const target of listEndpoints(fleet, endpoint)) {
    target.setLimit(perSecond, fleet.events.nowMs);
  }
}

/** Pauses an endpoint, or all of them, for a time. */
function pauseEndpoint(
  fleet: DispatchFleet,
  {durationMs = 0, endpoint}: ScenarioAction,
): void {
  const {events} = fleet;
  for (const target of listEndpoints(fleet, endpoint)) {
    target.pause(events.nowMs + durationMs);
    events.schedule(durationMs, () => target.resume(events.nowMs));
  }
}

/** The handler of each action on a fleet, by the verb of the action. */
const fleetActions: Readonly<
  Record<string, (fleet: DispatchFleet, action: ScenarioAction) => void>
> = {
  limitEndpoint: (fleet, {endpoint, rate}) => setLimit(fleet, endpoint, rate),
  unlimitEndpoint: (fleet, {endpoint}) => setLimit(fleet, endpoint, undefined),
  pauseEndpoint,
  changePlans: fleet => fleet.setNextDesiredState(),
  killVm: (fleet, {vm}) => fleet.killVm(vm!),
  startVm: (fleet, {vm}) => {
    fleet.startVm(vm!, vm!.slice(0, vm!.lastIndexOf('-')));
  },
  cut: (fleet, {a}) => fleet.setZoneCut(a!, true),
  heal: fleet => fleet.clearCuts(),
};

/** Counts the calls that match the qualifiers. */
function countCalls(
  {endpoints}: DispatchFleet,
  {endpoint, sinceMs = 0, untilMs = Infinity}: MetricQualifiers,
): number {
  let count = 0;
  for (const [id, {arrivals}] of endpoints) {
    if (endpoint !== undefined && endpoint !== id) continue;
    for (const {atMs} of arrivals) {
      if (atMs >= sinceMs && atMs <= untilMs) count += 1;
    }
  }
  return count;
}

/** Counts the requests of VMs that live for which a condition holds. */
function countRequests(
  {requests, vms}: DispatchFleet,
  isCounted: (request: FleetRequest) => boolean,
): number {
  let count = 0;
  for (const request of requests.values()) {
    if (!vms.get(request.vm)!.isDead && isCounted(request)) count += 1;
  }
  return count;
}

/** The metrics of a fleet that a scenario can state expectations of, by name. */
export const fleetMetrics: Readonly<
  Record<string, (fleet: DispatchFleet, qualifiers: MetricQualifiers) => number>
> = {
  dispatches: countCalls,
  goodput: ({counts}) => counts.served / Math.max(1, counts.sent),
  refusals: ({refusals}) => refusals.length,
  'cut answers': fleet =>
    countRequests(fleet, ({outcome}) => outcome === 'cut'),
  unanswered: fleet => {
    const dueAtMs = fleet.events.nowMs - callerDeadlineMs - answerGraceMs;
    return countRequests(
      fleet,
      ({outcome, sentAtMs}) => outcome === 'open' && sentAtMs < dueAtMs,
    );
  },
  'unknown outcomes': fleet =>
    countRequests(
      fleet,
      ({error}) =>
        error !== undefined && errorAnswers[error].ran === runStatus.unknown,
    ),
  duplicates: fleet =>
    countRequests(
      fleet,
      ({route, runs}) => route.kind === callKind.nonIdempotent && runs > 1,
    ),
  'wrong not-run': fleet => countRequests(fleet, isWrongNotRun),
  'exceeded limits': ({endpoints}) => {
    let count = 0;
    for (const {exceeded} of endpoints.values()) count += exceeded.length;
    return count;
  },
};

/** Runs a scenario on a fleet of dispatch cores; returns the fleet at its end. */
export function runFleet(
  statements: readonly ScenarioStatement[],
  size: StatementOf<'fleet'>,
  runMs: number,
  seed: number,
): DispatchFleet {
  const fleet = createFleet(size, seed);
  for (const load of getStatements(statements, 'load')) {
    fleet.events.schedule(load.fromMs, () =>
      fleet.startCallers(load.call, load.rate, load.toMs),
    );
  }
  for (const {atMs, action, line} of getStatements(statements, 'fault')) {
    const handleAction = fleetActions[action.verb];
    if (handleAction === undefined) {
      throw new Error(`line ${line}: not possible with a fleet`);
    }
    fleet.events.schedule(atMs, () => handleAction(fleet, action));
  }
  fleet.events.runUntil(runMs);
  return fleet;
}
