import {DispatchState} from '../dispatchState.js';
import {createLog, Effect, ProbeEndpoint} from '../effect.js';
import {Endpoint} from '../endpoints/endpoint.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {EndpointProbed} from '../input.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {
  ConnectionLoss,
  CrashTable,
  getProcess,
  lossMemoryMs,
  maxEventsOfBeginning,
} from './crashTable.js';
import {isReplaced} from './processEnds.js';
import {applyReferenceProbe, probeReferences} from './probeReferences.js';
import {
  describeParts,
  isSimultaneous,
  recordConfirmedLoss,
  recordCrash,
  recordMoment,
} from './recordCrash.js';
import {listSuspects} from './soundParts.js';
import {consumeEndedParts} from './unframedEnds.js';

/** Time between losses that happen at once, in ms. */
const simultaneousMs = 25;
/**
 * Time from a loss, and from each probe that is accepted, to the next probe, in ms:
 * the listener of a process that ends may outlast its connections.
 */
const probeDelaysMs: readonly number[] = [50, 200, 750];

/** Probes an endpoint once more, unless it has accepted all probes. */
function probeNext(
  endpoint: Endpoint,
  loss: ConnectionLoss,
  acceptedProbes: number,
): ProbeEndpoint[] {
  loss.acceptedProbes = acceptedProbes;
  loss.isProbed = acceptedProbes < probeDelaysMs.length;
  if (!loss.isProbed) return [];
  const delayMs = probeDelaysMs[acceptedProbes];
  return [{kind: 'probeEndpoint', endpoint, delayMs}];
}

/** Returns the loss that is being checked for a process; creates one if need be. */
function getOrCreateLoss(
  {uncheckedLosses}: CrashTable,
  process: string,
  nowMs: number,
): ConnectionLoss {
  const known = uncheckedLosses.get(process);
  if (known !== undefined && nowMs - known.atMs <= lossMemoryMs) return known;
  const loss: ConnectionLoss = {
    atMs: nowMs,
    parts: new Set(),
    acceptedProbes: 0,
    isProbed: false,
    isSimultaneous: false,
  };
  uncheckedLosses.set(process, loss);
  return loss;
}

/** Suspects parts of having crashed a process, and probes it if need be. */
function addSuspects(
  table: CrashTable,
  endpoint: Endpoint,
  parts: readonly string[],
  nowMs: number,
): Effect[] {
  const suspects = listSuspects(table, parts, nowMs);
  if (suspects.length === 0) return [];
  const loss = getOrCreateLoss(table, getProcess(endpoint), nowMs);
  loss.atMs = nowMs;
  for (const part of suspects) loss.parts.add(part);
  return loss.isProbed ? [] : probeNext(endpoint, loss, 0);
}

/**
 * Checks whether the connection of a call was lost because its endpoint crashed
 * under the prompt. A crashed endpoint accepts no connections, or another process
 * takes its place.
 */
export function checkLostCall(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  {endpoint}: EndpointEntry,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  const process = getProcess(endpoint);
  recordMoment(table.lostAtMs, process, nowMs);
  const parts = consumeEndedParts(table, process, nowMs);
  if (call.events <= maxEventsOfBeginning) parts.push(...request.sharedParts);
  return addSuspects(table, endpoint, parts, nowMs);
}

/** Records the crashes among the losses that were doubted until now. */
function recordConfirmedLosses(
  state: DispatchState,
  {endpoint, isListening}: EndpointProbed,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  const effects: Effect[] = [];
  const losses = applyReferenceProbe(table, endpoint, isListening);
  for (const {parts, process} of losses) {
    const suspects = listSuspects(table, parts, nowMs);
    const evidence = {evidence: 'reference', reference: endpoint.id};
    effects.push(
      ...recordConfirmedLoss(state, process, suspects, evidence, nowMs),
    );
  }
  return effects;
}

/**
 * Records a crash, if the probe of an endpoint shows that it has crashed. If
 * others have lost connections at the same moment, more probes decide. A loss whose
 * endpoint accepts all probes is decided by whether its process answers again or
 * another one takes its place.
 */
export function handleEndpointProbed(
  state: DispatchState,
  input: EndpointProbed,
  nowMs: number,
): Effect[] {
  const {endpoint, isListening} = input;
  const table = state.crashes;
  const process = getProcess(endpoint);
  const effects = recordConfirmedLosses(state, input, nowMs);
  const loss = table.uncheckedLosses.get(process);
  if (loss === undefined) return effects;
  loss.isSimultaneous ||= isSimultaneous(
    table.lostAtMs,
    loss.atMs,
    simultaneousMs,
  );
  const parts = listSuspects(table, [...loss.parts], nowMs);
  const hasEnded = !isListening || isReplaced(state, endpoint);
  effects.push(
    createLog('connection_loss_checked', {
      endpoint: endpoint.id,
      isListening,
      hasEnded,
      isSimultaneous: loss.isSimultaneous,
      probe: loss.acceptedProbes + 1,
      sharedParts: describeParts(parts),
    }),
  );
  if (hasEnded || parts.length === 0) table.uncheckedLosses.delete(process);
  if (parts.length === 0) return effects;
  if (!hasEnded) {
    const acceptedProbes = loss.acceptedProbes + 1;
    return [...effects, ...probeNext(endpoint, loss, acceptedProbes)];
  }
  const next = loss.isSimultaneous
    ? probeReferences(state, endpoint, parts, nowMs)
    : recordCrash(state, process, parts, nowMs);
  effects.push(...next);
  return effects;
}
