import {runDueTimers, Timer, TimerHandler} from '@ryeworks/utils';
import {sweepWaiting} from './admission/refuseOrQueue.js';
import {
  checkFirstVersion,
  expireVersionCheck,
  startVersionCheck,
} from './desired/checkFirstVersion.js';
import {applyDesiredState} from './desired/desiredStateTracker.js';
import {handleDesiredStateFetchEnded} from './desired/fetchNewerVersion.js';
import {getBounds} from './dispatchOptions.js';
import {DispatchState, TimerPurpose} from './dispatchState.js';
import {createCount, createLog, Effect} from './effect.js';
import {
  handleEndpointChanged,
  handleEndpointRemoved,
  handleEndpointsListed,
  handleStoreReachabilityChanged,
  sweepMissing,
} from './endpoints/handleEndpoints.js';
import {handleEvacuationsRead} from './endpoints/evacuations.js';
import {expireHedgeDelay} from './hedging/expireHedgeDelay.js';
import {
  BoundsChanged,
  DesiredStateRead,
  Input,
  InputOf,
  StopRequested,
} from './input.js';
import {moveUpdatePeriodMs, updateMoves} from './moves/handleMoves.js';
import {handleMovesRead} from './moves/handleMovesRead.js';
import {
  handlePeerMessage,
  handleSeedListed,
  handleVmListed,
} from './peers/handlePeerMessage.js';
import {
  handleStorePositionRead,
  handleStoreViewFetchEnded,
  handleStoreViewRead,
} from './peers/storeWatching.js';
import {handleEndpointProbed} from './crashes/checkLostCall.js';
import {
  handleCrashReportsRead,
  handleCrashReportsWritten,
} from './crashes/writeCrashReports.js';
import {updateQuarantines} from './crashes/updateQuarantines.js';
import {sendDigest} from './peers/sendDigest.js';
import {expirePermitWait} from './rateLimits/grantPermits.js';
import {updateWarmUps} from './rateLimits/warmUp.js';
import {handleCallAnswered} from './requests/handleCallAnswered.js';
import {
  expireRequest,
  handleCallDone,
  handleCallerGone,
  handleCallPaused,
  handleCallProgressed,
  handleCallSent,
} from './requests/handleCallEvents.js';
import {expireSilentCall} from './requests/expireSilentCall.js';
import {handleCallFailed} from './requests/handleCallFailed.js';
import {
  expireEarlyRequest,
  handleRequestReceived,
} from './requests/handleRequestReceived.js';
import {expireRetryDelay} from './requests/retryRequest.js';
import {handleRequestInterrupted} from './requests/handleRequestInterrupted.js';
import {announceVm, handleStoreEraRead} from './store/updateStoreEra.js';

/** Handles inputs of one kind and returns the resulting effects. */
type InputHandler<K extends Input['kind']> = (
  state: DispatchState,
  input: InputOf<K>,
  nowMs: number,
) => Effect[];

const timerHandlers: Record<
  TimerPurpose,
  TimerHandler<DispatchState, Effect>
> = {
  requestTimeout: expireRequest,
  silence: expireSilentCall,
  hedge: expireHedgeDelay,
  retry: expireRetryDelay,
  sweepWaiting,
  earlyRequest: expireEarlyRequest,
  digest: sendDigest,
  sweepMissing,
  permits: expirePermitWait,
  quarantines: updateQuarantines,
  moves: updateMoves,
  versionCheck: expireVersionCheck,
  announce: announceVm,
};

/** Applies a desired state if it is newer than the current one. */
function handleDesiredStateRead(
  state: DispatchState,
  input: DesiredStateRead,
  nowMs: number,
): Effect[] {
  const {desiredState} = input;
  const isFirst = state.desiredState.current === undefined;
  const previousVersion = state.desiredState.current?.version ?? -1;
  if (!applyDesiredState(state.desiredState, desiredState)) return [];
  const customerLogs: Effect[] = [];
  for (const {apiKeys, limit, name, tier} of desiredState.customers) {
    customerLogs.push(
      createLog('customer_applied', {
        customer: name,
        version: desiredState.version,
        tier: tier ?? 'none',
        keys: apiKeys.length,
        unitsPerSecond: limit?.unitsPerSecond ?? 0,
        burstUnits: limit?.burstUnits ?? 0,
      }),
    );
  }
  return [
    ...customerLogs,
    {kind: 'applyCallerBounds', bounds: desiredState.bounds},
    createCount('desired_state_applied'),
    createLog('desired_state_applied', {
      version: desiredState.version,
      previousVersion,
      routes: desiredState.routes.length,
      customers: desiredState.customers.length,
    }),
    ...updateWarmUps(state, nowMs),
    ...(isFirst ? startVersionCheck : checkFirstVersion)(state, nowMs),
  ];
}

/** Starts a graceful stop, or changes the end of the one in progress. */
function handleStopRequested(
  state: DispatchState,
  {endAtMs}: StopRequested,
  nowMs: number,
): Effect[] {
  state.stop = {startedAtMs: state.stop?.startedAtMs ?? nowMs, endAtMs};
  return [];
}

/** Applies the bounds of changed settings. */
function handleBoundsChanged(
  state: DispatchState,
  {bounds}: BoundsChanged,
): Effect[] {
  state.options = {...state.options, ...getBounds(bounds)};
  return [];
}

/** Purposes of timers whose subject is a request. */
const requestPurposes: ReadonlySet<TimerPurpose> = new Set([
  'requestTimeout',
  'silence',
  'hedge',
  'retry',
  'earlyRequest',
]);

/** Reports an error in the handler of a timer, and the request it belongs to. */
function reportTimerFault(
  error: unknown,
  {purpose, subject}: Timer<TimerPurpose>,
): Effect[] {
  const requestId = requestPurposes.has(purpose) ? subject : undefined;
  return [{kind: 'reportFault', error, requestId}];
}

/** Runs the handlers of all timers that are due. */
function handleTimerDue(
  state: DispatchState,
  _input: unknown,
  nowMs: number,
): Effect[] {
  return runDueTimers(
    state.timers,
    timerHandlers,
    state,
    nowMs,
    reportTimerFault,
  );
}

const inputHandlers: {[K in Input['kind']]: InputHandler<K>} = {
  requestReceived: handleRequestReceived,
  callerGone: handleCallerGone,
  requestInterrupted: handleRequestInterrupted,
  callSent: handleCallSent,
  callAnswered: handleCallAnswered,
  callProgressed: handleCallProgressed,
  callPaused: handleCallPaused,
  callDone: handleCallDone,
  callFailed: handleCallFailed,
  endpointProbed: handleEndpointProbed,
  crashReportsRead: handleCrashReportsRead,
  crashReportsWritten: handleCrashReportsWritten,
  desiredStateRead: handleDesiredStateRead,
  desiredStateFetchEnded: handleDesiredStateFetchEnded,
  endpointsListed: handleEndpointsListed,
  endpointChanged: handleEndpointChanged,
  endpointRemoved: handleEndpointRemoved,
  storeReachabilityChanged: handleStoreReachabilityChanged,
  vmListed: handleVmListed,
  seedListed: handleSeedListed,
  movesRead: handleMovesRead,
  evacuationsRead: handleEvacuationsRead,
  storeEraRead: handleStoreEraRead,
  storePositionRead: handleStorePositionRead,
  storeViewRead: handleStoreViewRead,
  storeViewFetchEnded: handleStoreViewFetchEnded,
  peerMessageReceived: handlePeerMessage,
  stopRequested: handleStopRequested,
  boundsChanged: handleBoundsChanged,
  timerDue: handleTimerDue,
};

/** Schedules the periodic tasks of a VM. */
export function startDispatch(state: DispatchState, nowMs: number): void {
  state.timers.set('digest', '', nowMs);
  state.timers.set('moves', '', nowMs + moveUpdatePeriodMs);
}

/** Returns the time of the next timer, in ms; undefined if no timer is set. */
export function getNextDueMs(state: DispatchState): number | undefined {
  return state.timers.getNextDueMs();
}

/** Handles one input: updates the state and returns the resulting effects. */
export function handleInput(
  state: DispatchState,
  input: Input,
  nowMs: number,
): Effect[] {
  const handler = inputHandlers[input.kind] as InputHandler<Input['kind']>;
  return handler(state, input, nowMs);
}
