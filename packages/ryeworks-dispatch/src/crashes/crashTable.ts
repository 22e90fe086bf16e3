import {Endpoint} from '../endpoints/endpoint.js';
import {ActiveCall} from '../requests/activeRequest.js';

/**
 * Number of events up to which an answer has only begun. A prompt that crashes
 * endpoints does so at the beginning of its answer; one whose answer went on for
 * longer was cut by a crash that another prompt caused.
 */
export const maxEventsOfBeginning = 3;

/**
 * Time after a loss within which the end of the process explains it, in ms: a
 * crashed process is listed again, or is removed, after some seconds.
 */
export const lossMemoryMs = 10_000;

/** What is known of a part of prompts under which endpoints have crashed. */
export interface PartRecord {
  /**
   * When this VM learned of each crash, in ms, by the process that crashed; see
   * `getProcess`.
   */
  readonly crashes: Map<string, number>;
  /** When a request with the part last crashed an endpoint or was refused, in ms. */
  lastSeenAtMs: number;
  /** When this VM last reported it to its peers, in ms. */
  reportedAtMs: number;
  /** When an answer to this VM last failed by such a crash, in ms. */
  observedAtMs: number;
}

/** Connections to a process that were lost and may show that it crashed. */
export interface ConnectionLoss {
  /** When the last of them was lost, in ms. */
  atMs: number;
  /** The parts of the prompts that it worked on for this VM. */
  readonly parts: Set<string>;
  /** Number of probes that were accepted since the first one. */
  acceptedProbes: number;
  /** Whether a probe is under way. */
  isProbed: boolean;
  /** Whether several endpoints lost connections at that moment. */
  isSimultaneous: boolean;
}

/** An answer that only the end of its connection marked as complete. */
export interface UnframedEnd {
  readonly atMs: number;
  readonly attemptId: string;
}

/**
 * Parts that are in all prompts under which the same endpoints have crashed. A
 * prompt that has all of them is refused.
 */
export type Quarantine = readonly string[];

/** Since when a part is known to be sound. */
export interface SoundPart {
  /** When a prompt with it was last answered through this VM, in ms. */
  answeredAtMs: number;
  /** When a peer last reported such an answer, in ms. */
  reportedAtMs: number;
}

/**
 * Endpoints of a zone that have lost connections at the same moment: they have
 * crashed if the network path to the zone works.
 */
export interface ZoneDoubt {
  /** The suspected parts of the prompts on each process. */
  readonly lostParts: Map<string, readonly string[]>;
  /** Processes of the zone whose probes have not been answered. */
  readonly references: Set<string>;
}

/** What a VM knows of prompts under which endpoints crash. */
export interface CrashTable {
  /** Records of parts that no answer has shown to be sound, by part. */
  readonly records: Map<string, PartRecord>;
  quarantines: readonly Quarantine[];
  /** Parts that are known to be sound, by part. */
  readonly soundParts: Map<string, SoundPart>;
  /** Shared parts of the last prompts that were received, by service. */
  readonly recentPrompts: Map<string, Array<readonly string[]>>;
  /** Until when this VM reports that a part is sound, in ms, by part. */
  readonly soundReportedUntilMs: Map<string, number>;
  /**
   * Losses of connections of processes that have neither ended nor answered since, by
   * process.
   */
  readonly uncheckedLosses: Map<string, ConnectionLoss>;
  /**
   * Parts of prompts that are sound unless the process has ended with its answer, by
   * process and part.
   */
  readonly unframedEnds: Map<string, Map<string, UnframedEnd>>;
  /** Losses that a failed network path may explain, by availability zone. */
  readonly doubtsByZone: Map<string, ZoneDoubt>;
  /** When each process last lost connections of this VM, in ms. */
  readonly lostAtMs: Map<string, number>;
  /** When another process was last listed in place of one, in ms. */
  readonly replacedAtMs: Map<string, number>;
  /** Whether the quarantines are going to be updated. */
  isUpdateScheduled: boolean;
  /**
   * The quarantines that this VM has written to the store, as a text; undefined if
   * it has written none, or does not know what the store holds.
   */
  storedKey: string | undefined;
  /** Whether the quarantines are being written to the store. */
  isWriting: boolean;
  /** When this VM next reports all records, in ms. */
  allReportedAtMs: number;
}

/** Creates an empty table. */
export function createCrashTable(): CrashTable {
  return {
    records: new Map(),
    quarantines: [],
    soundParts: new Map(),
    recentPrompts: new Map(),
    soundReportedUntilMs: new Map(),
    uncheckedLosses: new Map(),
    unframedEnds: new Map(),
    doubtsByZone: new Map(),
    lostAtMs: new Map(),
    replacedAtMs: new Map(),
    isUpdateScheduled: false,
    storedKey: undefined,
    isWriting: false,
    allReportedAtMs: 0,
  };
}

/** Returns the name of the process that a call was started at. */
export function getCalledProcess({
  endpointId,
  processStartedAtMs,
}: Pick<ActiveCall, 'endpointId' | 'processStartedAtMs'>): string {
  return `${endpointId}@${processStartedAtMs}`;
}

/** Returns the name of the process that runs as an endpoint: `ID@START`. */
export function getProcess({
  id,
  startedAtMs,
}: Pick<Endpoint, 'id' | 'startedAtMs'>): string {
  return `${id}@${startedAtMs}`;
}
