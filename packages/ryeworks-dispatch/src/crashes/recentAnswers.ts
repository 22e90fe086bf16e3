import {ActiveRequest} from '../requests/activeRequest.js';
import {CrashTable, PartRecord, Quarantine} from './crashTable.js';

/** A complete answer to a prompt. */
export interface RecentAnswer {
  readonly atMs: number;
  /** Shared parts of the prompt. */
  readonly sharedParts: readonly string[];
}

/** Maximum number of answers that are remembered of a service. */
const maxAnswers = 16;

/** Remembers a complete answer to a prompt. */
export function addRecentAnswer(
  {recentAnswers}: CrashTable,
  {promptTokens, service, sharedParts}: ActiveRequest,
  nowMs: number,
): void {
  if (promptTokens === 0) return;
  const answers = recentAnswers.get(service) ?? [];
  answers.push({atMs: nowMs, sharedParts});
  if (answers.length > maxAnswers) answers.shift();
  recentAnswers.set(service, answers);
}

/**
 * Returns whether a service has answered a prompt without some parts since they
 * first crashed an endpoint. If it answers no prompt at all, the cause is not in
 * the prompts, and their quarantine would not end once the service is mended.
 */
export function hasOtherAnswers(
  {recentAnswers}: CrashTable,
  {crashes, service}: PartRecord,
  parts: Quarantine,
): boolean {
  const firstCrashMs = Math.min(...crashes.values());
  const answers = recentAnswers.get(service) ?? [];
  return answers.some(
    ({atMs, sharedParts}) =>
      atMs >= firstCrashMs && !parts.every(part => sharedParts.includes(part)),
  );
}
