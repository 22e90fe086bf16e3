import t from 'tap';
import {handleClaimAsk} from '../claims/handleClaims.js';
import {
  handleProcessPause,
  handleNewZoneDetected,
} from '../claims/handleMemberChanges.js';
import {createNodeState, NodeState} from '../nodeState.js';
import {createTestOptions} from './testOptions.js';

/** Asks for a key as a retry does; returns what the owner says of it. */
function askForKey(state: NodeState, claimKey: string, nowMs: number) {
  const ask = {
    kind: 'claimAsk',
    claimKey,
    requestId: `request-${claimKey}`,
    fingerprint: 1,
    firstAttempt: false,
    keyAgeMs: -1,
  } as const;
  for (const effect of handleClaimAsk(state, 'vm-b', ask, nowMs)) {
    if (effect.kind !== 'sendPeer') continue;
    if (effect.message.kind === 'claimAnswer') return effect.message.status;
  }
  return undefined;
}

t.test('an owner that was paused does not vouch for unseen keys', async t => {
  const state = createNodeState(createTestOptions('vm-a'), 0);
  handleNewZoneDetected(state, {kind: 'newZoneDetected'});
  t.equal(askForKey(state, 'key-1', 100), 'granted');
  // While it slept, another VM may have owned and granted any key.
  handleProcessPause(state, 5000);
  t.equal(askForKey(state, 'key-2', 5100), 'unknown');
});
