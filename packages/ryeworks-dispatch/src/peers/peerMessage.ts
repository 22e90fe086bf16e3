/** The most urgent request in a VM's queue for a service. */
export interface QueueHead {
  /** Priority of the request; lower ranks are dispatched first. */
  readonly rank: number;
  /** How long the request has waited, in ms. */
  readonly waitedMs: number;
  /** Number of waiting requests in the queue. */
  readonly count: number;
}

/**
 * Outcomes of calls to one version of a service during a move. The counts of a
 * VM drop to 0 when it restarts.
 */
export interface VersionCounts {
  readonly answered: number;
  readonly failed: number;
  readonly slow: number;
}

/** How far a move under way has come on one VM. */
export interface MoveReport {
  /** Time since the first VM, as far as is known, read the order, in ms. */
  readonly ageMs: number;
  /** Share of the requests that the VM routes to the new version. */
  readonly share: number;
  /** Whether the VM found the new version bad. */
  readonly isBad: boolean;
}

/** What a VM knows of an endpoint's rate limit. */
export interface LimitReport {
  /** Requests per second from all VMs together, as last named. */
  readonly perSecond: number;
  /** Whether the endpoint names no limit any more. */
  readonly isLifted: boolean;
  /** How long ago an answer stated it, in ms. */
  readonly ageMs: number;
}

/** What a VM knows of a part of prompts under which endpoints have crashed. */
export interface CrashReport {
  readonly part: string;
  /**
   * How long ago a request with the part last crashed an endpoint or was refused,
   * in ms.
   */
  readonly seenAgoMs: number;
  /** The processes that crashed, each as `ID@START`. */
  readonly processes: readonly string[];
}

/**
 * State of one VM, sent to all others several times a second. Each digest
 * replaces all earlier ones but for the units that it omits, so a lost digest does
 * no harm.
 */
export interface Digest {
  readonly kind: 'digest';
  readonly vm: string;
  /** `host:port` at which the VM receives peer messages. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Start time of the process, in ms since 1970. */
  readonly incarnation: number;
  /** Increases with each digest of an incarnation. */
  readonly sequence: number;
  /** Version of the desired state that the VM has applied; -1 if none. */
  readonly desiredVersion: number;
  /**
   * Era of the store; undefined if the VM knows none, or from a build that knows
   * no eras.
   */
  readonly storeEra?: number;
  /**
   * Revision within the era up to which the VM has applied all changes; 0 if
   * none.
   */
  readonly storeRevision: number;
  /**
   * The same for the move orders; undefined from a build that does not report
   * them apart.
   */
  readonly ordersRevision?: number;
  /**
   * How long the VM has reached the store without interruption, in ms; 0 if it
   * does not reach the store or does not watch it.
   */
  readonly storeReachedForMs: number;
  /** Calls in flight by endpoint id; endpoints without calls are omitted. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Heads of the queues by service; empty queues are omitted. */
  readonly heads: Readonly<Record<string, QueueHead>>;
  /**
   * Units of limits used since the process started, by customer. A customer
   * that is omitted has used none since an earlier digest.
   */
  readonly unitsTaken: Readonly<Record<string, number>>;
  /**
   * Whether `unitsTaken` omits customers; undefined, like false, if it holds
   * all.
   */
  readonly omitsUnits?: boolean;
  /**
   * What the VM can carry for others; see `DispatchOptions`. Undefined from a
   * build that relays no digests in its own zone and knows no omitted units.
   */
  readonly relayCapacity?: number;
  /** Call outcomes by move and version; see `createEvidenceKey`. */
  readonly evidence: Readonly<Record<string, VersionCounts>>;
  /**
   * Moves under way; see `createMoveKey`. Undefined from a build that does not
   * report them.
   */
  readonly moves?: Readonly<Record<string, MoveReport>>;
  /**
   * Rate limits of endpoints that this VM owns or has just observed, by endpoint
   * id; undefined from a build that knows no limits.
   */
  readonly limits?: Readonly<Record<string, LimitReport>>;
  /**
   * Start times of endpoints that have stated to this VM that they are leaving,
   * in ms since 1970, by endpoint id; undefined from a build that does not
   * report them.
   */
  readonly leaving?: Readonly<Record<string, number>>;
  /**
   * Crashes of endpoints by the parts of the prompts under which they happened;
   * undefined from a build that reports none. Unlike other fields, a report adds to
   * earlier ones.
   */
  readonly crashes?: readonly CrashReport[];
  /** Parts that a peer has reported although prompts with them are answered. */
  readonly soundParts?: readonly string[];
}

/**
 * A digest that its VM sends to a relay of its zone only. Unlike a digest, it is
 * relayed however many VMs the receiver knows.
 */
export interface DigestToRelay {
  readonly kind: 'digestToRelay';
  readonly vm: string;
  readonly digest: Digest;
}

/** A VM's own digest and the digests that it relays. */
interface DigestBatchContent {
  readonly vm: string;
  readonly own: Digest;
  readonly relayed: readonly Digest[];
}

/** A batch of digests that each build can read. */
export interface DigestBatch extends DigestBatchContent {
  readonly kind: 'digestBatch';
}

/**
 * A batch of digests that is sent compressed, which only builds that state a
 * `relayCapacity` can read.
 */
export interface CompressedBatch extends DigestBatchContent {
  readonly kind: 'compressedBatch';
}

/** Offers a freed slot to a peer whose waiting request is more urgent. */
export interface SlotOffer {
  readonly kind: 'slotOffer';
  readonly vm: string;
  readonly endpointId: string;
}

/** Asks the owner of an endpoint's rate limit for a permit to send a request. */
export interface PermitAsk {
  readonly kind: 'permitAsk';
  readonly vm: string;
  /** `host:port` to which the answer is sent. */
  readonly address: string;
  readonly endpointId: string;
  readonly requestId: string;
  /** Priority of the request; lower ranks go first. */
  readonly rank: number;
  /** How long the request can still wait, in ms. */
  readonly maxWaitMs: number;
  /** How long its caller waits in all, returns included, in ms. */
  readonly deadlineInMs: number;
  /**
   * Whether the caller is told to come back if this owner refuses; otherwise
   * the sender asks another owner.
   */
  readonly isLast: boolean;
  /** What the sender knows of the limit. */
  readonly limit: LimitReport;
}

/** The outcomes of an ask for a permit. */
export const permitOutcome = {
  /** The request may be sent to the endpoint at once. */
  granted: 'granted',
  /** A permit follows once it is the request's turn. */
  queued: 'queued',
  /** No permit can be granted while the request can wait. */
  refused: 'refused',
} as const;

/** One of the outcomes of an ask for a permit. */
export type PermitOutcome = (typeof permitOutcome)[keyof typeof permitOutcome];

/** Answers an ask for a permit. */
export interface PermitAnswer {
  readonly kind: 'permitAnswer';
  readonly vm: string;
  readonly endpointId: string;
  readonly requestId: string;
  readonly outcome: PermitOutcome;
  /** Time until a permit can be granted, in ms. */
  readonly waitMs: number;
}

/** All messages that VMs send to each other. */
export type PeerMessage =
  | Digest
  | DigestToRelay
  | DigestBatch
  | CompressedBatch
  | SlotOffer
  | PermitAsk
  | PermitAnswer;
