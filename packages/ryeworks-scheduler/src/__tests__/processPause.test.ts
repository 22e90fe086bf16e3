import t from 'tap';
import {handleClaimAsk} from '../claims/handleClaims.js';
import {
  handleProcessPause,
  handleNewZoneDetected,
} from '../claims/handleMemberChanges.js';
import {createSchedulerState, SchedulerState} from '../schedulerState.js';
import {createTestOptions} from './testOptions.js';

/** Claims a key as a retry does and returns the status of the owner's answer. */
function sendRetryClaim(
  state: SchedulerState,
  claimKey: string,
  nowMs: number,
) {
  const message = {
    kind: 'claimAsk',
    claimKey,
    requestId: `request-${claimKey}`,
    fingerprint: 1,
    firstAttempt: false,
    keyAgeMs: -1,
  } as const;
  for (const effect of handleClaimAsk(state, 'vm-b', message, nowMs)) {
    if (effect.kind !== 'sendPeer') continue;
    if (effect.message.kind === 'claimAnswer') return effect.message.status;
  }
  return undefined;
}

t.test('an owner that was paused does not grant unknown keys', async t => {
  const state = createSchedulerState(createTestOptions('vm-a'), 0);
  handleNewZoneDetected(state, {kind: 'newZoneDetected'});
  t.equal(sendRetryClaim(state, 'key-1', 100), 'granted');
  // During the pause, another VM may have owned and granted any key.
  handleProcessPause(state, 5000);
  t.equal(sendRetryClaim(state, 'key-2', 5100), 'unknown');
});
