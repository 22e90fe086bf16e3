import {RandomSource} from '@ryeworks/utils';
import {EventQueue} from './eventQueue.js';

/** One-way delays, in ms. */
const inZoneDelayMs = 0.3;
const crossZoneDelayMs = 1;

/** Place that stands for the platform in cuts. */
export const platformLocation = 'platform';

/** Delays and drops between places: availability zones and the platform. */
export class FakeNetwork {
  private readonly cuts = new Set<string>();
  /** Part of the messages that is lost, 0 to 1. */
  lossRate = 0;
  /** Part of the messages that arrives twice, 0 to 1. */
  duplicateRate = 0;

  constructor(
    private readonly events: EventQueue,
    private readonly random: RandomSource,
  ) {}

  /** Cuts two places off from each other. */
  addCut(a: string, b: string): void {
    this.cuts.add(`${a}|${b}`);
    this.cuts.add(`${b}|${a}`);
  }

  /** Mends all cuts. */
  clearCuts(): void {
    this.cuts.clear();
  }

  /** Tells whether two places are cut off from each other. */
  isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a}|${b}`);
  }

  /** Returns the one-way delay between two places, in ms. */
  getDelayMs(a: string, b: string): number {
    const base = a === b ? inZoneDelayMs : crossZoneDelayMs;
    return base * (1 + this.random.next());
  }

  /** Delivers something unless it is cut off or lost. */
  send(a: string, b: string, deliver: () => void): void {
    if (this.isCut(a, b) || this.random.next() < this.lossRate) return;
    this.events.schedule(this.getDelayMs(a, b), deliver);
    if (this.random.next() >= this.duplicateRate) return;
    this.events.schedule(this.getDelayMs(a, b) * 5, deliver);
  }
}
