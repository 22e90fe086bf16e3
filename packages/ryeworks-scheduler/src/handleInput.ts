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
import {NodeState} from './nodeState.js';
import {handleCallerGone} from './requests/handleCallerGone.js';
import {
  handleEndpointDone,
  handleEndpointFailed,
  handleEndpointFirstToken,
  handleEndpointProgress,
} from './requests/handleEndpointEvents.js';
import {handleRequestReceived} from './requests/handleRequestReceived.js';
import {handleStopRequested} from './requests/handleStopRequested.js';

/** Decides on one input. */
type InputHandler<K extends Input['kind']> = (
  state: NodeState,
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
  zoneFounded: handleNewZoneDetected,
  platformAnswered: handlePlatformCallEnded,
  timerDue: handleTimerDue,
  stopRequested: handleStopRequested,
};

/** Selects the handler of one input. */
function applyInput(state: NodeState, input: Input, nowMs: number): Effect[] {
  const handler = inputHandlers[input.kind] as InputHandler<Input['kind']>;
  return handler(state, input, nowMs);
}

/**
 * Decides on one input and returns what to do. Changes the state. Messages
 * that a VM sends to itself are handled here and never leave.
 */
export function handleInput(
  state: NodeState,
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
    const local: Input = {
      kind: 'peerMessageReceived',
      from: state.options.vm,
      message: effect.message,
    };
    pending.push(...applyInput(state, local, nowMs));
  }
  return effects;
}
