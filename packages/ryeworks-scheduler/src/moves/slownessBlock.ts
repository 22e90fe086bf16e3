import {EvidenceReport} from '../peerMessage.js';
import {SlownessBlock} from './movesState.js';

/** Length of a block, in ms. */
const blockMs = 500;
/** Calls of the old version from which it shows what is usual. */
const minOldVersionCalls = 3;

/** Calls of one version in a block. */
interface BlockCounts {
  readonly observed: number;
  readonly slow: number;
}

/** Creates an empty block. */
export function createSlownessBlock(nowMs: number): SlownessBlock {
  return {
    startedAtMs: nowMs,
    old: {observed: 0, slow: 0},
    new: {observed: 0, slow: 0},
  };
}

/** Tells whether at least half of the calls were slow. */
function isMostlySlow({observed, slow}: BlockCounts): boolean {
  return observed > 0 && slow * 2 >= observed;
}

/** Tells whether a block is over. */
export function isBlockOver(block: SlownessBlock, nowMs: number): boolean {
  return nowMs - block.startedAtMs >= blockMs;
}

/** Adds the calls of a report to a block. */
export function addToBlock(block: SlownessBlock, report: EvidenceReport): void {
  const counts = report.onNewVersion ? block.new : block.old;
  counts.observed += report.observed;
  counts.slow += report.slow;
}

/**
 * Judges a block that is over: whether the new version was slow in it while
 * the old one was not. Undefined when the new version had no calls.
 */
export function isNewVersionSlow(block: SlownessBlock): boolean | undefined {
  if (block.new.observed === 0) return undefined;
  const isOldSlow =
    block.old.observed >= minOldVersionCalls && isMostlySlow(block.old);
  return isMostlySlow(block.new) && !isOldSlow;
}
