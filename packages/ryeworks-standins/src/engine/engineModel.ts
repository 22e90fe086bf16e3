import {createRandomSource, RandomSource} from '@ryeworks/utils';

/** Ways in which a version can be bad. All off by default. */
export interface Badness {
  /** Part of the calls that fail, 0 to 1. */
  failRate: number;
  /** Factor by which every step takes longer. */
  slowFactor: number;
  /** Batch size from which the engine is bad; 0 for always. */
  fromBatch: number;
  /** Calls after which the engine is bad; 0 for at once. */
  afterCalls: number;
  /** Route that is bad; empty for all. */
  route: string;
}

/** A version without fault. */
export const noBadness: Badness = {
  failRate: 0,
  slowFactor: 1,
  fromBatch: 0,
  afterCalls: 0,
  route: '',
};

/** Speed and size of an engine. */
export interface EngineOptions {
  /** Time of a step with an empty batch, in ms. */
  readonly baseStepMs: number;
  /** Time that each running sequence adds to a step, in ms. */
  readonly perSequenceMs: number;
  /** Prompt tokens read in a ms. */
  readonly promptTokensPerMs: number;
  /** Most prompt tokens read in one step. */
  readonly promptChunkTokens: number;
  /** Most sequences in the batch. */
  readonly maxBatch: number;
  /** Prefixes kept in the cache. */
  readonly maxPrefixes: number;
  readonly seed: number;
}

/** An engine of the first hardware generation. */
export const defaultEngineOptions: EngineOptions = {
  baseStepMs: 10,
  perSequenceMs: 1.5,
  promptTokensPerMs: 20,
  promptChunkTokens: 512,
  maxBatch: 64,
  maxPrefixes: 64,
  seed: 1,
};

/** One call in the engine. */
export interface Sequence {
  readonly id: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  promptLeft: number;
  emitted: number;
}

/** What a step brought for one call. */
export interface EngineEvent {
  readonly id: string;
  readonly kind: 'token' | 'done' | 'failed';
}

/** A model engine with continuous batching. It admits all and has no tiers. */
export interface EngineModel {
  readonly options: EngineOptions;
  readonly random: RandomSource;
  readonly waiting: Sequence[];
  readonly running: Sequence[];
  readonly prefixes: Set<string>;
  badness: Badness;
  calls: number;
  /** Factor by which the engine is slowed as a fault, 1 for none. */
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
    badness: {...noBadness},
    calls: 0,
    slowdown: 1,
  };
}

/** Adds a call to an engine. */
export function addSequence(
  model: EngineModel,
  call: Omit<Sequence, 'promptLeft' | 'emitted'>,
): void {
  model.calls += 1;
  const isCached = model.prefixes.delete(call.prefix);
  model.prefixes.add(call.prefix);
  if (model.prefixes.size > model.options.maxPrefixes) {
    const [oldest] = model.prefixes;
    model.prefixes.delete(oldest);
  }
  const promptLeft = isCached ? call.promptTokens / 2 : call.promptTokens;
  model.waiting.push({...call, promptLeft, emitted: 0});
}

/** Removes a call from an engine. */
export function cancelSequence(model: EngineModel, id: string): void {
  for (const list of [model.waiting, model.running]) {
    const index = list.findIndex(sequence => sequence.id === id);
    if (index >= 0) list.splice(index, 1);
  }
}

/** Tells whether an engine has nothing to do. */
export function isIdle(model: EngineModel): boolean {
  return model.waiting.length === 0 && model.running.length === 0;
}

/** Tells whether the engine is bad for a route now. */
function isBadFor(model: EngineModel, route: string): boolean {
  const {badness, calls, running} = model;
  if (badness.route !== '' && badness.route !== route) return false;
  return calls > badness.afterCalls && running.length >= badness.fromBatch;
}

/** Reads prompts of waiting calls; returns how many tokens were read. */
function readPrompts(model: EngineModel): number {
  const {options, running, waiting} = model;
  let left = options.promptChunkTokens;
  while (left > 0 && waiting.length > 0) {
    if (running.length >= options.maxBatch) break;
    const [sequence] = waiting;
    const read = Math.min(left, sequence.promptLeft);
    sequence.promptLeft -= read;
    left -= read;
    if (sequence.promptLeft > 0) break;
    waiting.shift();
    running.push(sequence);
  }
  return options.promptChunkTokens - left;
}

/** Starts a step; returns its length in ms. */
export function startStep(model: EngineModel): number {
  const {options, badness} = model;
  const promptTokens = readPrompts(model);
  const promptMs = promptTokens / options.promptTokensPerMs;
  const batchMs = options.perSequenceMs * model.running.length;
  const stepMs = options.baseStepMs + batchMs + promptMs;
  const isSlow = model.running.some(one => isBadFor(model, one.route));
  return stepMs * model.slowdown * (isSlow ? badness.slowFactor : 1);
}

/** Ends a step; returns what it brought. */
export function finishStep(model: EngineModel): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (const sequence of [...model.running]) {
    const {id} = sequence;
    const isFirst = sequence.emitted === 0;
    const mayFail = isFirst && isBadFor(model, sequence.route);
    if (mayFail && model.random.next() < model.badness.failRate) {
      cancelSequence(model, id);
      events.push({id, kind: 'failed'});
      continue;
    }
    sequence.emitted += 1;
    events.push({id, kind: 'token'});
    if (sequence.emitted < sequence.maxTokens) continue;
    cancelSequence(model, id);
    events.push({id, kind: 'done'});
  }
  return events;
}
