import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {EndpointProbed} from '../input.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {CrashTable, getProcess} from './crashTable.js';
import {applyReferenceProbe, probeReferences} from './probeReferences.js';
import {addCrash} from './partRecords.js';
import {isSound} from './soundParts.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/**
 * Number of events up to which an answer has only begun. A prompt that crashes
 * endpoints does so at the beginning of its answer; one whose answer went on for
 * longer was cut by a crash that another prompt caused.
 */
const maxEventsOfBeginning = 3;
/** Number of processes that lose connections at once if a network path fails. */
const minSimultaneousLosses = 3;
/** Time between losses that happen at once, in ms. */
const simultaneousMs = 25;
/** Time for which a loss of connections is remembered, in ms. */
const lossMemoryMs = 1000;
/** Maximum number of parts of a prompt in a log line. */
const maxLoggedParts = 32;

/** Records that a process lost connections; forgets those of long ago. */
function recordLoss({lostAtMs}: CrashTable, process: string, nowMs: number) {
  lostAtMs.set(process, nowMs);
  for (const [lost, atMs] of lostAtMs) {
    if (nowMs - atMs > lossMemoryMs) lostAtMs.delete(lost);
  }
}

/**
 * Checks whether the connection of a call was lost because its endpoint crashed
 * under the prompt. A crashed endpoint accepts no connections.
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
  recordLoss(table, process, nowMs);
  if (call.events > maxEventsOfBeginning) return [];
  const suspects = request.sharedParts.filter(
    part => !isSound(table, part, nowMs),
  );
  if (suspects.length === 0) return [];
  const unchecked = table.uncheckedLosses.get(process);
  const parts = unchecked?.parts ?? new Set();
  for (const part of suspects) parts.add(part);
  if (unchecked !== undefined) return [];
  table.uncheckedLosses.set(process, {atMs: nowMs, parts});
  return [{kind: 'probeEndpoint', endpoint}];
}

/** Returns whether several endpoints lost connections at the same moment. */
function isOutage({lostAtMs}: CrashTable, atMs: number): boolean {
  let losses = 0;
  for (const otherMs of lostAtMs.values()) {
    if (Math.abs(otherMs - atMs) <= simultaneousMs) losses += 1;
  }
  return losses >= minSimultaneousLosses;
}

/** Records that a process has crashed under some parts. */
function recordCrash(
  state: DispatchState,
  process: string,
  parts: readonly string[],
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  for (const part of parts) {
    addCrash(table, part, process, nowMs);
    const record = table.records.get(part)!;
    record.lastSeenAtMs = nowMs;
    record.observedAtMs = nowMs;
  }
  scheduleQuarantines(state, nowMs);
  return [createCount('prompt_crashes')];
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
    const suspects = parts.filter(part => !isSound(table, part, nowMs));
    effects.push(
      createLog('connection_loss_confirmed', {
        process,
        reference: endpoint.id,
        sharedParts: suspects.slice(0, maxLoggedParts).join(),
      }),
    );
    if (suspects.length === 0) continue;
    effects.push(...recordCrash(state, process, suspects, nowMs));
  }
  return effects;
}

/**
 * Records a crash, if the probe of an endpoint shows that it has crashed. If
 * others have lost connections at the same moment, more probes decide.
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
  table.uncheckedLosses.delete(process);
  const isSimultaneous = isOutage(table, loss.atMs);
  const parts = [...loss.parts].filter(part => !isSound(table, part, nowMs));
  effects.push(
    createLog('connection_loss_checked', {
      endpoint: endpoint.id,
      isListening,
      isSimultaneous,
      sharedParts: parts.slice(0, maxLoggedParts).join(),
    }),
  );
  if (isListening || parts.length === 0) return effects;
  const next = isSimultaneous
    ? probeReferences(state, endpoint, parts, nowMs)
    : recordCrash(state, process, parts, nowMs);
  effects.push(...next);
  return effects;
}
