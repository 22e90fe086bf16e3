/** The most urgent request that waits for a service. */
export interface QueueHead {
  /** Its place among others; the least goes first. */
  readonly rank: number;
  /** How long it has waited, in ms. */
  readonly waitedMs: number;
  /** Requests that wait. */
  readonly count: number;
}

/** Evidence on one version of a service, counted since the VM started. */
export interface VersionCounts {
  readonly answered: number;
  readonly failed: number;
  readonly slow: number;
}

/**
 * What one VM tells all others several times a second. The newest replaces all
 * before it, so a lost one does no harm.
 */
export interface Digest {
  readonly kind: 'digest';
  readonly vm: string;
  /** `host:port` where the VM takes peers' messages. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Start of the process, in ms since 1970. */
  readonly incarnation: number;
  /** Grows with each digest of an incarnation. */
  readonly sequence: number;
  /** Version of the desired state in force there; -1: none. */
  readonly desiredVersion: number;
  /** Revision of the store up to which the VM knows its news; 0: none. */
  readonly storeRevision: number;
  /** How long the store has answered there without a break, in ms; 0: not. */
  readonly storeReachedForMs: number;
  /** Calls in flight by endpoint id; endpoints without calls are left out. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Heads of the queues by service; empty queues are left out. */
  readonly heads: Readonly<Record<string, QueueHead>>;
  /** Units taken by customer since the process started. */
  readonly unitsTaken: Readonly<Record<string, number>>;
  /** Evidence by move and version; see `moves/`. */
  readonly evidence: Readonly<Record<string, VersionCounts>>;
}

/** A VM's digest along with those of other zones that it passes on. */
export interface DigestBatch {
  readonly kind: 'digestBatch';
  readonly vm: string;
  readonly own: Digest;
  readonly relayed: readonly Digest[];
}

/** Leaves a freed slot to a peer whose waiting request is more urgent. */
export interface SlotOffer {
  readonly kind: 'slotOffer';
  readonly vm: string;
  readonly endpointId: string;
}

/** Everything that VMs tell each other. */
export type PeerMessage = Digest | DigestBatch | SlotOffer;
