import {ErrorKind, RunStatus} from '@ryeworks/types';
import {CallKind} from '../deployment/deploymentPlan.js';

/** How a caller retries and which VMs it calls. */
export interface CallerBehavior {
  /**
   * Whether the caller retries with the same idempotency key after a lost
   * connection, a timeout or a refusal.
   */
  readonly isRetrying: boolean;
  /** Whether requests carry the number of their attempt. */
  readonly marksAttempts: boolean;
  /** Zone whose entry VMs the caller uses; empty or absent for all zones. */
  readonly zone?: string;
}

/** The final answer to one attempt of a call. */
export interface AttemptAnswer {
  /** `lost` means that the connection was lost before the final answer. */
  readonly outcome: 'done' | 'lost' | ErrorKind;
  readonly ran: RunStatus;
  readonly retryAfterMs: number;
  readonly atMs: number;
}

/** A call with all its attempts and their answers. */
export interface CallRecord {
  readonly callId: string;
  readonly kind: CallKind;
  /** Idempotency key; empty if the caller sends none. */
  readonly key: string;
  readonly customer: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly behavior: CallerBehavior;
  /** When the call started, in virtual time, in ms. */
  readonly startedMs: number;
  readonly attempts: {requestId: string; vm: string; startedMs: number}[];
  /** Final answers to the attempts, in the order of their arrival. */
  readonly answers: AttemptAnswer[];
  /** When the first token arrived, in virtual time, in ms; 0 before. */
  firstTokenMs: number;
  /**
   * When the latest attempt was dispatched to an endpoint, in virtual time, in
   * ms; 0 before.
   */
  dispatchedMs: number;
}

/** A request that a VM dispatched to an endpoint. */
export interface DispatchRecord {
  readonly atMs: number;
  readonly requestId: string;
  readonly endpoint: string;
  readonly version: string;
  readonly vm: string;
  readonly tier: number;
}

/**
 * Records the calls, dispatches, messages, counters and document versions of
 * one run.
 */
export class CallLedger {
  readonly calls: CallRecord[] = [];
  /** The call of each attempt, by the request ID of the attempt. */
  readonly callByRequestId = new Map<string, CallRecord>();
  readonly dispatches: DispatchRecord[] = [];
  /** Number and bytes of the messages between VMs, by kind, if counted. */
  readonly messages = new Map<string, {count: number; bytes: number}>();
  /** Sums of the counters of all VMs, by name and tags. */
  readonly counters = new Map<string, number>();
  /** When each VM applied a document version, by `name@version`, in ms. */
  readonly appliedAtMs = new Map<string, Map<string, number>>();
  /** When a document changed on the platform, by `name@version`, in ms. */
  readonly documentChangedAtMs = new Map<string, number>();
  /** Number of times a VM applied a version older than its last one. */
  revertedVersions = 0;
  /** When each VM received the verdict to withdraw a move, by move, in ms. */
  readonly verdictAtMs = new Map<string, Map<string, number>>();

  /** Counts a message between VMs and adds its encoded size. */
  countMessage(kind: string, bytes: number): void {
    const sums = this.messages.get(kind) ?? {count: 0, bytes: 0};
    sums.count += 1;
    sums.bytes += bytes;
    this.messages.set(kind, sums);
  }

  /** Adds an amount to a counter. */
  addCount(
    name: string,
    tags: Readonly<Record<string, string>>,
    amount: number,
  ): void {
    const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
    const fullName = pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
    this.counters.set(fullName, (this.counters.get(fullName) ?? 0) + amount);
  }

  /** Returns the last answer to a call; undefined before any. */
  getFinalAnswer(call: CallRecord): AttemptAnswer | undefined {
    return call.answers[call.answers.length - 1];
  }

  /** Returns whether a call succeeded before its deadline. */
  wasAnsweredInTime(call: CallRecord): boolean {
    const answer = this.getFinalAnswer(call);
    if (answer?.outcome !== 'done') return false;
    return answer.atMs - call.startedMs <= call.kind.deadlineMs;
  }
}
