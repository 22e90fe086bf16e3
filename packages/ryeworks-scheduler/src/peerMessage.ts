import {DocumentName, Tier} from '@ryeworks/types';

/**
 * Membership status of a VM, in order of precedence. At equal incarnation, a
 * later status overrides an earlier one.
 */
export const memberStatus = {
  alive: 'alive',
  suspect: 'suspect',
  unreachable: 'unreachable',
  leaving: 'leaving',
  left: 'left',
} as const;

/** Membership status of a VM. */
export type MemberStatus = (typeof memberStatus)[keyof typeof memberStatus];

/** Status of a VM as reported by itself or by another VM. */
export interface MemberUpdate {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Version of each document that the sender has applied. */
export type DocumentVersions = Readonly<Record<DocumentName, number>>;

/** A finding that the new version of a move is bad. It is never revoked. */
export interface Verdict {
  readonly move: string;
  readonly symptom: string;
  readonly route: string;
  readonly observed: number;
  readonly bad: number;
  readonly availabilityZone: string;
}

/** Fields that are piggybacked on every probe and its answer. */
export interface Gossip {
  readonly incarnation: number;
  readonly updates: readonly MemberUpdate[];
  readonly documents: DocumentVersions;
  readonly verdicts: readonly Verdict[];
}

/** Probes a member. `full` requests the whole member table in the answer. */
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

/** Asks a member to probe `target` on behalf of the sender. */
export interface PingRequest {
  readonly kind: 'pingRequest';
  readonly sequence: number;
  readonly target: string;
}

/** Tells the sender of a {@link PingRequest} that the target answered. */
export interface IndirectAck {
  readonly kind: 'indirectAck';
  readonly sequence: number;
  readonly target: string;
}

/** Requests a document if it is newer than `haveVersion`. */
export interface DocumentFetch {
  readonly kind: 'documentFetch';
  readonly name: string;
  readonly haveVersion: number;
}

/** Sends a document as JSON. */
export interface DocumentPush {
  readonly kind: 'documentPush';
  readonly name: string;
  readonly version: number;
  readonly contentJson: string;
}

/** Asks the owner of a cell for permission to dispatch one request. */
export interface GrantAsk {
  readonly kind: 'grantAsk';
  readonly askId: string;
  readonly cellKey: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
  /** Remaining time for the whole call, in ms. */
  readonly deadlineInMs: number;
  /** Engine kinds that the plan allows; empty if it allows any. */
  readonly engines: readonly string[];
  /** Endpoints that already failed this request. */
  readonly avoid: readonly string[];
  /** Whether to prefer the busiest endpoint, to observe it under load. */
  readonly isPacked: boolean;
  /** Highest estimated wait at which to be queued, in ms; 0 for no limit. */
  readonly maxWaitMs: number;
}

/** Reports that a grant request waits in the owner's queue. */
export interface GrantQueued {
  readonly kind: 'grantQueued';
  readonly askId: string;
}

/** Grants permission to dispatch the request to one endpoint. */
export interface GrantOffer {
  readonly kind: 'grantOffer';
  readonly askId: string;
  readonly endpoint: string;
}

/**
 * Refuses a grant request. The reason `wouldWait` means that the estimated wait
 * exceeds `maxWaitMs`; the request can be sent again with a higher limit.
 */
export interface GrantRefusal {
  readonly kind: 'grantRefusal';
  readonly askId: string;
  readonly reason: 'overloaded' | 'noEndpoint' | 'wouldWait';
  readonly retryAfterMs: number;
  /** Estimated wait, in ms. */
  readonly waitMs: number;
}

/** Withdraws a grant request, or returns a grant with the observed timings. */
export interface GrantEnd {
  readonly kind: 'grantEnd';
  readonly askId: string;
  readonly cellKey: string;
  readonly outcome: 'unused' | 'done' | 'failed';
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
  readonly outputTokens: number;
}

/** A grant that its holder reports as in use. */
export interface GrantInUse {
  readonly askId: string;
  readonly endpoint: string;
  readonly tier: Tier;
}

/**
 * Renews the grants of the sender. A VM that has taken over a cell rebuilds its
 * record of the grants in use from these reports.
 */
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

/** State of a claimed idempotency key. */
export type ClaimState = (typeof claimState)[keyof typeof claimState];

/** A claim of an idempotency key, as sent between VMs. */
export interface ClaimRecord {
  readonly claimKey: string;
  readonly requestId: string;
  readonly holder: string;
  readonly fingerprint: number;
  readonly state: ClaimState;
  /** Endpoint that the request was dispatched to; empty before dispatch. */
  readonly endpoint: string;
  /** Age of the claim when the message was sent, in ms. */
  readonly ageMs: number;
}

/** Claims an idempotency key for a request. */
export interface ClaimAsk {
  readonly kind: 'claimAsk';
  readonly claimKey: string;
  readonly requestId: string;
  readonly fingerprint: number;
  /** True when the caller states that this is the first use of the key. */
  readonly firstAttempt: boolean;
  /** Age of a key that contains its creation time, in ms; -1 for other keys. */
  readonly keyAgeMs: number;
}

/**
 * Answers a claim. The status is `unknown` when the owner cannot rule out an
 * earlier claim of the key.
 */
export interface ClaimAnswer {
  readonly kind: 'claimAnswer';
  readonly claimKey: string;
  readonly requestId: string;
  readonly availabilityZone: string;
  readonly status: 'granted' | 'held' | 'unknown';
  /** The existing claim when the status is `held`. */
  readonly record?: ClaimRecord;
}

/** Sends copies of claims to another VM of the zone. */
export interface ClaimCopy {
  readonly kind: 'claimCopy';
  readonly records: readonly ClaimRecord[];
  /** Request whose claim waits for this copy; empty if none waits. */
  readonly requestId: string;
  /** True in the last message that answers a {@link ClaimSync}. */
  readonly isSync: boolean;
  /** Whether the sender has all its claims of the whole claim window. */
  readonly isComplete: boolean;
}

/** Confirms that copies of claims were stored. */
export interface ClaimCopied {
  readonly kind: 'claimCopied';
  readonly requestId: string;
  /** An existing claim of the key by another request. */
  readonly conflict?: ClaimRecord;
}

/** Requests all claims that the sender should hold as owner or replica. */
export interface ClaimSync {
  readonly kind: 'claimSync';
}

/** Changes the state of a claim; `released` deletes the claim. */
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

/**
 * Reports demand to the owner of the customers' limits, the VM that divides them
 * among all VMs.
 */
export interface LimitReport {
  readonly kind: 'limitReport';
  readonly demands: readonly LimitDemand[];
}

/** Assigns shares of the customers' limits to the receiver. */
export interface LimitShares {
  readonly kind: 'limitShares';
  /** Fraction of each limit that the receiver may use. */
  readonly shares: readonly {
    readonly customer: string;
    readonly share: number;
  }[];
}

/** Observations of one route during a move since the previous report. */
export interface EvidenceReport {
  readonly kind: 'evidenceReport';
  readonly move: string;
  readonly route: string;
  readonly onNewVersion: boolean;
  readonly observed: number;
  readonly failed: number;
  readonly slow: number;
}

/**
 * Reports one zone's total number of observations of the new version to the
 * leader of the moves.
 */
export interface EvidenceSummary {
  readonly kind: 'evidenceSummary';
  readonly move: string;
  readonly availabilityZone: string;
  readonly step: number;
  readonly observedNew: number;
}

/** A message between VMs. */
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

/** Kind of a message between VMs. */
export type PeerMessageKind = PeerMessage['kind'];

/** The message type of one kind. */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  {kind: K}
>;
