import {handleLoadReported} from './admission/handleLoadReported.js';
import {handleNewZoneDetected} from './claims/handleMemberChanges.js';
import {handleDocumentRead} from './documents/handleDocuments.js';
import {Effect} from './effect.js';
import {handlePeerMessage} from './handlePeerMessage.js';
import {handleTimerDue} from './handleTimerDue.js';
import {Input, InputOf} from './input.js';
import {detectPause} from './membership/probeMember.js';
import {handleVmsListed} from './membership/handleVmsListed.js';
import {handlePlatformCallEnded} from './moves/updateMoves.js';
import {SchedulerState} from './schedulerState.js';
import {handleCallerGone} from './requests/handleCallerGone.js';
import {
  handleEndpointDone,
  handleEndpointFailed,
  handleEndpointFirstToken,
  handleEndpointProgress,
} from './requests/handleEndpointEvents.js';
import {handleRequestReceived} from './requests/handleRequestReceived.js';
import {handleStopRequested} from './requests/handleStopRequested.js';

/** Handles inputs of one kind and returns the effects to carry out. */
type InputHandler<K extends Input['kind']> = (
  state: SchedulerState,
  input: InputOf<K>,
  nowMs: number,
) => Effect[];

const inputHandlers: {[K in Input['kind']]: InputHandler<K>} = {
  requestReceived: handleRequestReceived,
  callerGone: handleCallerGone,
  endpointFirstToken: handleEndpointFirstToken,
  endpointProgress: handleEndpointProgress,
  endpointDone: handleEndpointDone,
  endpointFailed: handleEndpointFailed,
  loadReported: handleLoadReported,
  peerMessageReceived: handlePeerMessage,
  documentRead: handleDocumentRead,
  vmsListed: handleVmsListed,
  newZoneDetected: handleNewZoneDetected,
  platformCallEnded: handlePlatformCallEnded,
  timerDue: handleTimerDue,
  stopRequested: handleStopRequested,
};

/** Passes an input to the handler of its kind. */
function applyInput(
  state: SchedulerState,
  input: Input,
  nowMs: number,
): Effect[] {
  const handler = inputHandlers[input.kind] as InputHandler<Input['kind']>;
  return handler(state, input, nowMs);
}

/**
 * Handles one input: updates the state and returns the effects to carry out.
 * Messages that a VM sends to itself are handled here and are not returned.
 */
export function handleInput(
  state: SchedulerState,
  input: Input,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const pending = [
    ...detectPause(state, nowMs),
    ...applyInput(state, input, nowMs),
  ];
  for (let index = 0; index < pending.length; index++) {
    const effect = pending[index];
    if (effect.kind !== 'sendPeer' || effect.to !== state.options.vm) {
      effects.push(effect);
      continue;
    }
    const localInput: Input = {
      kind: 'peerMessageReceived',
      from: state.options.vm,
      message: effect.message,
    };
    pending.push(...applyInput(state, localInput, nowMs));
  }
  return effects;
}
