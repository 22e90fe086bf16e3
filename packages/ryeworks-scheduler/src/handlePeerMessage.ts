import {
  handleGrantAsk,
  handleGrantEnd,
  handleGrantReport,
} from './admission/handleAdmission.js';
import {
  handleClaimAsk,
  handleClaimCopied,
  handleClaimCopy,
  handleClaimSync,
  handleClaimUpdate,
} from './claims/handleClaims.js';
import {
  handleDocumentFetch,
  handleDocumentPush,
} from './documents/handleDocuments.js';
import {Effect} from './effect.js';
import {PeerMessageReceived} from './input.js';
import {handleLimitReport, handleLimitShares} from './limits/handleLimits.js';
import {
  handleAck,
  handleIndirectAck,
  handlePing,
  handlePingRequest,
} from './membership/handleProbes.js';
import {
  handleEvidenceReport,
  handleEvidenceSummary,
} from './moves/handleEvidence.js';
import {SchedulerState} from './schedulerState.js';
import {PeerMessageKind, PeerMessageOf} from './peerMessage.js';
import {handleClaimAnswer} from './requests/handleClaimAnswer.js';
import {
  handleGrantOffer,
  handleGrantQueued,
  handleGrantRefusal,
} from './requests/handleGrants.js';

/** Handles peer messages of one kind and returns the effects to carry out. */
type PeerMessageHandler<K extends PeerMessageKind> = (
  state: SchedulerState,
  from: string,
  message: PeerMessageOf<K>,
  nowMs: number,
) => Effect[];

const peerMessageHandlers: {[K in PeerMessageKind]: PeerMessageHandler<K>} = {
  ping: handlePing,
  ack: handleAck,
  pingRequest: handlePingRequest,
  indirectAck: handleIndirectAck,
  documentFetch: handleDocumentFetch,
  documentPush: handleDocumentPush,
  grantAsk: handleGrantAsk,
  grantQueued: handleGrantQueued,
  grantOffer: handleGrantOffer,
  grantRefusal: handleGrantRefusal,
  grantEnd: handleGrantEnd,
  grantReport: handleGrantReport,
  claimAsk: handleClaimAsk,
  claimAnswer: handleClaimAnswer,
  claimCopy: handleClaimCopy,
  claimCopied: handleClaimCopied,
  claimSync: handleClaimSync,
  claimUpdate: handleClaimUpdate,
  limitReport: handleLimitReport,
  limitShares: handleLimitShares,
  evidenceReport: handleEvidenceReport,
  evidenceSummary: handleEvidenceSummary,
};

/** Passes a peer's message to the handler of its kind. */
export function handlePeerMessage(
  state: SchedulerState,
  input: PeerMessageReceived,
  nowMs: number,
): Effect[] {
  const kind = input.message.kind;
  const handler = peerMessageHandlers[kind] as PeerMessageHandler<typeof kind>;
  return handler(state, input.from, input.message, nowMs);
}
