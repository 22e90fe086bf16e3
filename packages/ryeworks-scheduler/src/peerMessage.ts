import {DocumentName, Tier} from '@ryeworks/types';

/** State of a member as its peers see it, in order of precedence. */
export const memberStatus = {
  alive: 'alive',
  suspect: 'suspect',
  unreachable: 'unreachable',
  leaving: 'leaving',
  left: 'left',
} as const;

/** One of the member statuses. */
export type MemberStatus = (typeof memberStatus)[keyof typeof memberStatus];

/** What one VM says of another, or of itself. */
export interface MemberUpdate {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Version of each document that the sender has in force. */
export type DocumentVersions = Readonly<Record<DocumentName, number>>;

/** A version of a move that was found bad; verdicts only accumulate. */
export interface Verdict {
  readonly move: string;
  readonly symptom: string;
  readonly route: string;
  readonly observed: number;
  readonly bad: number;
  readonly availabilityZone: string;
}

/** Fields that membership messages carry besides their own. */
export interface Gossip {
  readonly incarnation: number;
  readonly updates: readonly MemberUpdate[];
  readonly documents: DocumentVersions;
  readonly verdicts: readonly Verdict[];
}

/** Probes a member. `full` asks for the whole member table in the answer. */
export interface Ping extends Gossip {
  readonly kind: 'ping';
  readonly sequence: number;
  readonly full: boolean;
  readonly sender: MemberUpdate;
}

/** Answers a probe. */
export interface Ack extends Gossip {
  readonly kind: 'ack';
  readonly sequence: number;
  readonly sender: MemberUpdate;
}

/** Asks a third member to probe `target`. */
export interface PingRequest {
  readonly kind: 'pingRequest';
  readonly sequence: number;
  readonly target: string;
}

/** Tells the asker of a {@link PingRequest} that the target answered. */
export interface IndirectAck {
  readonly kind: 'indirectAck';
  readonly sequence: number;
  readonly target: string;
}

/** Asks for a document newer than `haveVersion`. */
export interface DocumentFetch {
  readonly kind: 'documentFetch';
  readonly name: string;
  readonly haveVersion: number;
}

/** Carries a document as JSON. */
export interface DocumentPush {
  readonly kind: 'documentPush';
  readonly name: string;
  readonly version: number;
  readonly contentJson: string;
}

/** Asks the owner of a cell for leave to dispatch one request. */
export interface GrantAsk {
  readonly kind: 'grantAsk';
  readonly askId: string;
  readonly cellKey: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
  /** Time left for the whole call, in ms. */
  readonly deadlineInMs: number;
  /** Engine kinds that the plan allows; empty for any. */
  readonly engines: readonly string[];
  /** Endpoints that already failed this request. */
  readonly avoid: readonly string[];
  /** Whether to prefer the busiest endpoint, to see it under load. */
  readonly isPacked: boolean;
  /** Longest wait for which the ask may be queued, in ms; 0 for any. */
  readonly maxWaitMs: number;
}

/** Tells the asker that its ask waits in the owner's queue. */
export interface GrantQueued {
  readonly kind: 'grantQueued';
  readonly askId: string;
}

/** Lets the asker dispatch to one endpoint. */
export interface GrantOffer {
  readonly kind: 'grantOffer';
  readonly askId: string;
  readonly endpoint: string;
}

/** Refuses an ask; `wouldWait` when it may be asked again with patience. */
export interface GrantRefusal {
  readonly kind: 'grantRefusal';
  readonly askId: string;
  readonly reason: 'overloaded' | 'noEndpoint' | 'wouldWait';
  readonly retryAfterMs: number;
  /** Estimated wait, in ms. */
  readonly waitMs: number;
}

/** Withdraws an ask, or returns a grant with what was observed. */
export interface GrantEnd {
  readonly kind: 'grantEnd';
  readonly askId: string;
  readonly cellKey: string;
  readonly outcome: 'unused' | 'done' | 'failed';
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
  readonly outputTokens: number;
}

/** One grant in use, as its holder reports it. */
export interface GrantInUse {
  readonly askId: string;
  readonly endpoint: string;
  readonly tier: Tier;
}

/** Renews grants and rebuilds the account of an owner that took over. */
export interface GrantReport {
  readonly kind: 'grantReport';
  readonly cellKey: string;
  readonly grants: readonly GrantInUse[];
}

/** State of a claimed idempotency key. */
export const claimState = {
  claimed: 'claimed',
  dispatched: 'dispatched',
} as const;

/** One of the claim states. */
export type ClaimState = (typeof claimState)[keyof typeof claimState];

/** Who holds an idempotency key. */
export interface ClaimRecord {
  readonly claimKey: string;
  readonly requestId: string;
  readonly holder: string;
  readonly fingerprint: number;
  readonly state: ClaimState;
  /** Endpoint it was dispatched to; empty before. */
  readonly endpoint: string;
  /** Age of the claim when sent, in ms. */
  readonly ageMs: number;
}

/** Claims a key for a request. */
export interface ClaimAsk {
  readonly kind: 'claimAsk';
  readonly claimKey: string;
  readonly requestId: string;
  readonly fingerprint: number;
  /** True when the caller says that it never sent the key before. */
  readonly firstAttempt: boolean;
  /** Age of a time-ordered key in ms; -1 when the key has no time. */
  readonly keyAgeMs: number;
}

/** Answers a claim. `unknown`: the owner cannot tell. */
export interface ClaimAnswer {
  readonly kind: 'claimAnswer';
  readonly claimKey: string;
  readonly requestId: string;
  readonly availabilityZone: string;
  readonly status: 'granted' | 'held' | 'unknown';
  /** The present claim when `held`. */
  readonly record?: ClaimRecord;
}

/** Copies claims to the next member in rank. */
export interface ClaimCopy {
  readonly kind: 'claimCopy';
  readonly records: readonly ClaimRecord[];
  /** Request whose claim waits for this copy; empty when none does. */
  readonly requestId: string;
  /** True in the answer to a {@link ClaimSync}. */
  readonly isSync: boolean;
  /** Whether the sender's own claims are complete. */
  readonly isComplete: boolean;
}

/** Confirms a copy. */
export interface ClaimCopied {
  readonly kind: 'claimCopied';
  readonly requestId: string;
  /** An earlier claim of the key by another request. */
  readonly conflict?: ClaimRecord;
}

/** Asks for all claims that the sender should hold. */
export interface ClaimSync {
  readonly kind: 'claimSync';
}

/** Changes the state of a claim; `released` forgets it. */
export interface ClaimUpdate {
  readonly kind: 'claimUpdate';
  readonly claimKey: string;
  readonly requestId: string;
  readonly state: ClaimState | 'released';
  readonly endpoint: string;
}

/** Demand of one customer at the sender. */
export interface LimitDemand {
  readonly customer: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrency: number;
}

/** Reports demand to the customer's home. */
export interface LimitReport {
  readonly kind: 'limitReport';
  readonly demands: readonly LimitDemand[];
}

/** Hands out shares of the customers' limits. */
export interface LimitShares {
  readonly kind: 'limitShares';
  /** Fraction of each limit that the receiver may use. */
  readonly shares: readonly {
    readonly customer: string;
    readonly share: number;
  }[];
}

/** Observations of one route under a move since the last report. */
export interface EvidenceReport {
  readonly kind: 'evidenceReport';
  readonly move: string;
  readonly route: string;
  readonly onNewVersion: boolean;
  readonly observed: number;
  readonly failed: number;
  readonly slow: number;
}

/** Sums of one zone for the leader of a move. */
export interface EvidenceSummary {
  readonly kind: 'evidenceSummary';
  readonly move: string;
  readonly availabilityZone: string;
  readonly step: number;
  readonly observedNew: number;
}

/** Every message between VMs. */
export type PeerMessage =
  | Ping
  | Ack
  | PingRequest
  | IndirectAck
  | DocumentFetch
  | DocumentPush
  | GrantAsk
  | GrantQueued
  | GrantOffer
  | GrantRefusal
  | GrantEnd
  | GrantReport
  | ClaimAsk
  | ClaimAnswer
  | ClaimCopy
  | ClaimCopied
  | ClaimSync
  | ClaimUpdate
  | LimitReport
  | LimitShares
  | EvidenceReport
  | EvidenceSummary;

/** Name of a message between VMs. */
export type PeerMessageKind = PeerMessage['kind'];

/** The message of one kind. */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  {kind: K}
>;
