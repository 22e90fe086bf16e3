import {SendPeer} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {PeerMessage} from '../peerMessage.js';

/** Creates the effect that sends a message to a member's address. */
export function createSendPeer(
  state: SchedulerState,
  to: string,
  message: PeerMessage,
): SendPeer {
  const address = state.membership.members.get(to)?.address ?? '';
  return {kind: 'sendPeer', to, address, message};
}
