import {SendPeer} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {PeerMessage} from '../peerMessage.js';

/** Addresses a message to a member. */
export function createSendPeer(
  state: NodeState,
  to: string,
  message: PeerMessage,
): SendPeer {
  const address = state.membership.members.get(to)?.address ?? '';
  return {kind: 'sendPeer', to, address, message};
}
