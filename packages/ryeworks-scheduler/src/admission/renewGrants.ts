import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {GrantInUse} from '../peerMessage.js';
import {parseCellKey} from './cellKeys.js';

/** Time between two renewals of the grants, in ms. */
const renewPeriodMs = 1000;

/** Reports the grants in use to the current owner of each cell. */
export function renewGrants(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('renewGrants', '', nowMs + renewPeriodMs);
  const grantsByCell = new Map<string, GrantInUse[]>();
  for (const request of state.requests.active.values()) {
    if (request.phase !== 'dispatched' || request.cellKey === '') continue;
    const grants = grantsByCell.get(request.cellKey) ?? [];
    grants.push({
      askId: request.askId,
      endpoint: request.endpoint,
      tier: request.tier,
    });
    grantsByCell.set(request.cellKey, grants);
  }
  const effects: Effect[] = [];
  for (const [cellKey, grants] of grantsByCell) {
    const {availabilityZone} = parseCellKey(cellKey);
    const [owner] = rankOwners(state.membership, cellKey, availabilityZone);
    if (owner === undefined) continue;
    const report = {kind: 'grantReport' as const, cellKey, grants};
    effects.push(createSendPeer(state, owner, report));
  }
  return effects;
}
