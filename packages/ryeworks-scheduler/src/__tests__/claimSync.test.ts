import t from 'tap';
import {
  handleClaimCopy,
  handleClaimSync,
  sweepClaims,
} from '../claims/handleClaims.js';
import {
  handleMemberJoined,
  handleNewZoneDetected,
} from '../claims/handleMemberChanges.js';
import {Effect} from '../effect.js';
import {memberStatus} from '../peerMessage.js';
import {createSchedulerState, SchedulerState} from '../schedulerState.js';
import {createTestOptions} from './testOptions.js';

const joined = {
  vm: 'vm-a',
  availabilityZone: 'a',
  address: 'vm-a',
  incarnation: 1,
  status: memberStatus.alive,
};

/** Creates a VM that knows `vm-a` as the other member of its zone. */
function createSecondVm(): SchedulerState {
  const state = createSchedulerState(createTestOptions('vm-b'), 0);
  const member = {...joined, changedAtMs: 0, documents: {}};
  state.membership.members.set(joined.vm, member);
  return state;
}

/** Delivers the questions for claims to a VM and its answers to the asker. */
function deliverSync(
  asker: SchedulerState,
  effects: readonly Effect[],
  owner: SchedulerState,
  nowMs: number,
): number {
  let asked = 0;
  for (const effect of effects) {
    if (effect.kind !== 'sendPeer' || effect.message.kind !== 'claimSync') {
      continue;
    }
    asked += 1;
    const answers = handleClaimSync(owner, 'vm-b', effect.message, nowMs);
    for (const answer of answers) {
      if (answer.kind !== 'sendPeer') continue;
      if (answer.message.kind !== 'claimCopy') continue;
      handleClaimCopy(asker, 'vm-a', answer.message, nowMs);
    }
  }
  return asked;
}

// Guards against a VM that asked before the other one of its zone had complete
// claims: it answered retries with an unknown outcome until the claim window had
// passed.
t.test('a VM asks for claims until it has them all', async t => {
  const first = createSchedulerState(createTestOptions('vm-a'), 0);
  const second = createSecondVm();
  deliverSync(second, handleMemberJoined(second, joined, 100), first, 100);
  t.equal(second.claims.isComplete, false, 'the first VM has not all claims');
  handleNewZoneDetected(first, {kind: 'newZoneDetected'});
  deliverSync(second, sweepClaims(second, '', 1100), first, 1100);
  t.equal(second.claims.isComplete, true);
  t.equal(deliverSync(second, sweepClaims(second, '', 2100), first, 2100), 0);
});
