import {updateMean} from '@ryeworks/utils';
import {EndpointEntry} from './endpointTable.js';

/**
 * Fixed part of the time to the first event, expressed as the number of prompt
 * tokens that take the same time.
 */
const fixedCostTokens = 3000;
/** Prompt length to which recorded times are normalized, in tokens. */
const standardPromptTokens = 1000;
/** Weights of a new sample in the running means. */
const firstEventWeight = 0.12;
const eventGapWeight = 0.15;

/** Returns the time for a prompt relative to a prompt of standard length. */
export function getPromptFactor(promptTokens: number): number {
  const standard = fixedCostTokens + standardPromptTokens;
  return (fixedCostTokens + promptTokens) / standard;
}

/** Adds a sample to a running mean; a mean of 0 has no samples yet. */
function addSample(mean: number, sample: number, weight: number): number {
  return mean === 0 ? sample : updateMean(mean, sample, weight);
}

/** Records the time to the first event of a response and ends any cool-down. */
export function recordFirstEvent(
  entry: EndpointEntry,
  elapsedMs: number,
  promptTokens: number,
): void {
  entry.consecutiveUnanswered = 0;
  entry.cooldownUntilMs = 0;
  const sample = elapsedMs / getPromptFactor(promptTokens);
  entry.firstEventMs = addSample(entry.firstEventMs, sample, firstEventWeight);
}

/**
 * Records that a call had no first event until it was canceled in favor of a hedged
 * request. Without it, an endpoint would look faster the more often it is late.
 */
export function recordLateFirstEvent(
  entry: EndpointEntry,
  elapsedMs: number,
  promptTokens: number,
): void {
  const sample = elapsedMs / getPromptFactor(promptTokens);
  if (sample <= entry.firstEventMs) return;
  entry.firstEventMs = addSample(entry.firstEventMs, sample, firstEventWeight);
}

/** Records the mean time between the events of a response. */
export function recordEventGap(entry: EndpointEntry, gapMs: number): void {
  entry.eventGapMs = addSample(entry.eventGapMs, gapMs, eventGapWeight);
}

/**
 * Returns the mean time to the first event over endpoints, in ms; 0 if unknown.
 */
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
 * Estimates the time to the first event for a prompt, in ms. An endpoint
 * without recorded times is assumed to have the mean time of its service.
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
