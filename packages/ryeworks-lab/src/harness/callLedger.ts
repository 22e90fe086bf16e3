import {ErrorKind, RunStatus} from '@ryeworks/types';
import {CallKind} from '../deployment/deploymentPlan.js';

/** How a caller behaves. */
export interface CallerBehavior {
  /** Tries again with the same key after a loss, a timeout or a refusal. */
  readonly isRetrying: boolean;
  /** Says which attempt it makes. */
  readonly marksAttempts: boolean;
  /** Zone whose entry VMs it calls; empty or absent for any. */
  readonly zone?: string;
}

/** The final answer to one attempt of a call. */
export interface AttemptAnswer {
  readonly outcome: 'done' | 'lost' | ErrorKind;
  readonly ran: RunStatus;
  readonly retryAfterMs: number;
  readonly atMs: number;
}

/** One call of a caller with all its attempts. */
export interface CallRecord {
  readonly callId: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly customer: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly behavior: CallerBehavior;
  readonly startedMs: number;
  readonly attempts: {requestId: string; vm: string; startedMs: number}[];
  /** Final answers in order. */
  readonly answers: AttemptAnswer[];
  /** When the first token of a successful attempt came, in ms; 0 before. */
  firstTokenMs: number;
  /** When the attempt that succeeded was dispatched, in ms. */
  dispatchedMs: number;
}

/** One request sent to an endpoint. */
export interface DispatchRecord {
  readonly atMs: number;
  readonly requestId: string;
  readonly endpoint: string;
  readonly version: string;
  readonly vm: string;
  readonly tier: number;
}

/** Everything that callers and endpoints saw in one run. */
export class CallLedger {
  readonly calls: CallRecord[] = [];
  readonly callByRequestId = new Map<string, CallRecord>();
  readonly dispatches: DispatchRecord[] = [];
  /** Messages between different VMs by kind, when they are counted. */
  readonly messages = new Map<string, {count: number; bytes: number}>();
  /** Counters of all VMs, by name with tags. */
  readonly counters = new Map<string, number>();
  /** When each version of a document came into force, by VM, in ms. */
  readonly appliedAtMs = new Map<string, Map<string, number>>();
  /** Times at which operators changed a list, by document and version. */
  readonly documentChangedAtMs = new Map<string, number>();
  /** Versions that a VM took after a newer one of the same document. */
  revertedVersions = 0;
  /** Verdicts by move: when each VM heard of it, in ms. */
  readonly verdictAtMs = new Map<string, Map<string, number>>();

  /** Counts a message between VMs and its encoded size. */
  countMessage(kind: string, bytes: number): void {
    const sums = this.messages.get(kind) ?? {count: 0, bytes: 0};
    sums.count += 1;
    sums.bytes += bytes;
    this.messages.set(kind, sums);
  }

  /** Adds to a counter. */
  addCount(
    name: string,
    tags: Readonly<Record<string, string>>,
    amount: number,
  ): void {
    const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
    const full = pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
    this.counters.set(full, (this.counters.get(full) ?? 0) + amount);
  }

  /** Returns the last answer of a call. */
  getFinalAnswer(call: CallRecord): AttemptAnswer | undefined {
    return call.answers[call.answers.length - 1];
  }

  /** Tells whether a call was answered whole and in time. */
  wasAnsweredInTime(call: CallRecord): boolean {
    const answer = this.getFinalAnswer(call);
    if (answer?.outcome !== 'done') return false;
    return answer.atMs - call.startedMs <= call.kind.deadlineMs;
  }
}
