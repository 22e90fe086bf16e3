import {EndpointEntry} from './endpointTable.js';

/** Prompt length that stands for the fixed part of a first event, in tokens. */
const fixedCostTokens = 3000;
/** Prompt length to which times are brought, in tokens. */
const standardPromptTokens = 1000;
/** Weights of a new sample in the running means. */
const firstEventWeight = 0.12;
const eventGapWeight = 0.15;

/** Returns how much longer a prompt takes than one of standard length. */
function getPromptFactor(promptTokens: number): number {
  const standard = fixedCostTokens + standardPromptTokens;
  return (fixedCostTokens + promptTokens) / standard;
}

/** Moves a running mean towards a sample; 0: nothing is known yet. */
function updateMean(mean: number, sample: number, weight: number): number {
  return mean === 0 ? sample : mean + (sample - mean) * weight;
}

/** Learns an endpoint's time to the first event of an answer. */
export function recordFirstEvent(
  entry: EndpointEntry,
  elapsedMs: number,
  promptTokens: number,
): void {
  entry.consecutiveUnanswered = 0;
  entry.cooldownUntilMs = 0;
  const sample = elapsedMs / getPromptFactor(promptTokens);
  entry.firstEventMs = updateMean(entry.firstEventMs, sample, firstEventWeight);
}

/** Learns the mean time between the events of an answer. */
export function recordEventGap(entry: EndpointEntry, gapMs: number): void {
  entry.eventGapMs = updateMean(entry.eventGapMs, gapMs, eventGapWeight);
}

/** Returns the mean over a service's endpoints, in ms; 0: nothing is known. */
export function getMeanFirstEventMs(entries: Iterable<EndpointEntry>): number {
  let total = 0;
  let count = 0;
  for (const entry of entries) {
    if (entry.firstEventMs === 0) continue;
    total += entry.firstEventMs;
    count += 1;
  }
  return count === 0 ? 0 : total / count;
}

/**
 * Estimates the time to the first event of a prompt, in ms. An endpoint that
 * was never used is taken to be like the others of its service.
 */
export function estimateFirstEventMs(
  entry: EndpointEntry,
  serviceMeanMs: number,
  promptTokens: number,
): number {
  const standardMs =
    entry.firstEventMs === 0 ? serviceMeanMs : entry.firstEventMs;
  return standardMs * getPromptFactor(promptTokens);
}
