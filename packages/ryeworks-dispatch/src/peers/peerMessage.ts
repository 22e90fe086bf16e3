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

/**
 * State of one VM, sent to all others several times a second. Each digest
 * replaces all earlier ones, so a lost digest does no harm.
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
  /** Store revision up to which the VM has applied all changes; 0 if none. */
  readonly storeRevision: number;
  /**
   * How long the VM has reached the store without interruption, in ms; 0 if it
   * does not reach the store or does not watch it.
   */
  readonly storeReachedForMs: number;
  /** Calls in flight by endpoint id; endpoints without calls are omitted. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Heads of the queues by service; empty queues are omitted. */
  readonly heads: Readonly<Record<string, QueueHead>>;
  /** Units of limits used since the process started, by customer. */
  readonly unitsTaken: Readonly<Record<string, number>>;
  /** Call outcomes by move and version; see `createEvidenceKey`. */
  readonly evidence: Readonly<Record<string, VersionCounts>>;
}

/** A VM's own digest and the digests of other zones that it relays. */
export interface DigestBatch {
  readonly kind: 'digestBatch';
  readonly vm: string;
  readonly own: Digest;
  readonly relayed: readonly Digest[];
}

/** Offers a freed slot to a peer whose waiting request is more urgent. */
export interface SlotOffer {
  readonly kind: 'slotOffer';
  readonly vm: string;
  readonly endpointId: string;
}

/** All messages that VMs send to each other. */
export type PeerMessage = Digest | DigestBatch | SlotOffer;
