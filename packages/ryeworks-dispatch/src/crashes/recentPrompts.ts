import {getOrCreate} from '@ryeworks/utils';
import {CrashTable, Quarantine} from './crashTable.js';

/** The prompt of a request to a service. */
export interface ServicePrompt {
  readonly service: string;
  /** IDs of the parts that other prompts may share. */
  readonly sharedParts: readonly string[];
}

/** Number of prompts that are remembered of a service. */
const maxPrompts = 40;
/** Minimum number of them to tell which share a quarantine refuses. */
const minPrompts = 20;
/** Share of a service's prompts, 0 to 1, up to which quarantines may refuse them. */
const maxRefusedShare = 0.6;

/** Remembers the prompt of a request that a VM has received. */
export function addRecentPrompt(
  {recentPrompts}: CrashTable,
  {service, sharedParts}: ServicePrompt,
): void {
  if (sharedParts.length === 0) return;
  const prompts = getOrCreate(recentPrompts, service, () => []);
  prompts.push(sharedParts);
  if (prompts.length > maxPrompts) prompts.shift();
}

/** Returns whether a prompt has all parts of a quarantine. */
export function hasAllParts(
  sharedParts: readonly string[],
  parts: Quarantine,
): boolean {
  return parts.every(part => sharedParts.includes(part));
}

/**
 * Returns whether quarantines refuse most prompts of a service. Then its endpoints
 * crash for another reason, and the quarantines must not outlast that: only an
 * answer clears a part.
 */
export function isMostlyQuarantined(
  table: CrashTable,
  service: string,
): boolean {
  const prompts = table.recentPrompts.get(service) ?? [];
  if (prompts.length < minPrompts) return false;
  let refused = 0;
  for (const sharedParts of prompts) {
    const isRefused = table.quarantines.some(parts =>
      hasAllParts(sharedParts, parts),
    );
    if (isRefused) refused += 1;
  }
  return refused > maxRefusedShare * prompts.length;
}
