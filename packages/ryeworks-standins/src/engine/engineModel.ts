import {createRandomSource, RandomSource} from '@ryeworks/utils';

/** Faults that can be injected into an engine to simulate a bad version. */
export interface FaultOptions {
  /** Fraction of the calls that fail, 0 to 1. */
  failRate: number;
  /** Factor by which every step with an affected call is slowed. */
  slowFactor: number;
  /** Minimum batch size at which the faults occur; 0 for any. */
  fromBatch: number;
  /** Number of calls after which the faults occur; 0 for from the start. */
  afterCalls: number;
  /** Route whose calls are affected; empty for all routes. */
  route: string;
}

/** Fault options that inject no faults; the default of every engine. */
export const noFaults: FaultOptions = {
  failRate: 0,
  slowFactor: 1,
  fromBatch: 0,
  afterCalls: 0,
  route: '',
};

/** Speed and capacity of an engine. */
export interface EngineOptions {
  /** Duration of a step with an empty batch, in ms. */
  readonly baseStepMs: number;
  /** Time that each running sequence adds to a step, in ms. */
  readonly perSequenceMs: number;
  /** Prompt tokens processed per ms. */
  readonly promptTokensPerMs: number;
  /** Maximum number of prompt tokens processed in one step. */
  readonly promptChunkTokens: number;
  /** Maximum number of sequences in the batch. */
  readonly maxBatch: number;
  /** Maximum number of prompt prefixes in the cache. */
  readonly maxPrefixes: number;
  readonly seed: number;
}

/** Options of an engine of the first hardware generation. */
export const defaultEngineOptions: EngineOptions = {
  baseStepMs: 10,
  perSequenceMs: 1.5,
  promptTokensPerMs: 20,
  promptChunkTokens: 512,
  maxBatch: 64,
  maxPrefixes: 64,
  seed: 1,
};

/** A call in progress in the engine. */
export interface Sequence {
  readonly id: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  /** Prompt tokens that are not yet processed. */
  remainingPromptTokens: number;
  /** Tokens generated so far. */
  emittedTokens: number;
}

/** Result of a step for one call. */
export interface EngineEvent {
  readonly id: string;
  readonly kind: 'token' | 'done' | 'failed';
}

/**
 * Model of an engine with continuous batching. It accepts every call and does
 * not distinguish tiers.
 */
export interface EngineModel {
  readonly options: EngineOptions;
  readonly random: RandomSource;
  readonly waiting: Sequence[];
  readonly running: Sequence[];
  readonly prefixes: Set<string>;
  faults: FaultOptions;
  /** Number of calls added so far. */
  calls: number;
  /** Factor by which every step is slowed for all calls; 1 for none. */
  slowdown: number;
}

/** Creates an idle engine. */
export function createEngineModel(options: EngineOptions): EngineModel {
  return {
    options,
    random: createRandomSource(options.seed),
    waiting: [],
    running: [],
    prefixes: new Set(),
    faults: {...noFaults},
    calls: 0,
    slowdown: 1,
  };
}

/** Adds a call; half of its prompt is skipped if its prefix is cached. */
export function addSequence(
  model: EngineModel,
  call: Omit<Sequence, 'remainingPromptTokens' | 'emittedTokens'>,
): void {
  model.calls += 1;
  const isCached = model.prefixes.delete(call.prefix);
  model.prefixes.add(call.prefix);
  if (model.prefixes.size > model.options.maxPrefixes) {
    const [oldest] = model.prefixes;
    model.prefixes.delete(oldest);
  }
  const remainingPromptTokens = isCached
    ? call.promptTokens / 2
    : call.promptTokens;
  model.waiting.push({...call, remainingPromptTokens, emittedTokens: 0});
}

/** Removes a call from the engine. */
export function cancelSequence(model: EngineModel, id: string): void {
  for (const list of [model.waiting, model.running]) {
    const index = list.findIndex(sequence => sequence.id === id);
    if (index >= 0) list.splice(index, 1);
  }
}

/** Returns whether an engine has no calls in progress. */
export function isIdle(model: EngineModel): boolean {
  return model.waiting.length === 0 && model.running.length === 0;
}

/** Returns whether the faults currently affect calls on a route. */
function isFaultyFor(model: EngineModel, route: string): boolean {
  const {faults, calls, running} = model;
  if (faults.route !== '' && faults.route !== route) return false;
  return calls > faults.afterCalls && running.length >= faults.fromBatch;
}

/**
 * Processes prompt tokens of the waiting calls and moves the calls whose prompts
 * are complete to the batch. Returns the number of processed tokens.
 */
function runPrefill(model: EngineModel): number {
  const {options, running, waiting} = model;
  let remainingTokens = options.promptChunkTokens;
  while (remainingTokens > 0 && waiting.length > 0) {
    if (running.length >= options.maxBatch) break;
    const [sequence] = waiting;
    const processed = Math.min(remainingTokens, sequence.remainingPromptTokens);
    sequence.remainingPromptTokens -= processed;
    remainingTokens -= processed;
    if (sequence.remainingPromptTokens > 0) break;
    waiting.shift();
    running.push(sequence);
  }
  return options.promptChunkTokens - remainingTokens;
}

/** Starts a step; returns its duration, in ms. */
export function startStep(model: EngineModel): number {
  const {options, faults} = model;
  const promptTokens = runPrefill(model);
  const promptMs = promptTokens / options.promptTokensPerMs;
  const batchMs = options.perSequenceMs * model.running.length;
  const stepMs = options.baseStepMs + batchMs + promptMs;
  const isSlow = model.running.some(call => isFaultyFor(model, call.route));
  return stepMs * model.slowdown * (isSlow ? faults.slowFactor : 1);
}

/** Finishes a step; returns its results. */
export function finishStep(model: EngineModel): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (const sequence of [...model.running]) {
    const {id} = sequence;
    const isFirst = sequence.emittedTokens === 0;
    const mayFail = isFirst && isFaultyFor(model, sequence.route);
    if (mayFail && model.random.next() < model.faults.failRate) {
      cancelSequence(model, id);
      events.push({id, kind: 'failed'});
      continue;
    }
    sequence.emittedTokens += 1;
    events.push({id, kind: 'token'});
    if (sequence.emittedTokens < sequence.maxTokens) continue;
    cancelSequence(model, id);
    events.push({id, kind: 'done'});
  }
  return events;
}
