import {RandomSource} from '@ryeworks/utils';
import {EventQueue} from './eventQueue.js';

/** Minimum one-way delays within a zone and between zones, in ms. */
const inZoneDelayMs = 0.3;
const crossZoneDelayMs = 1;

/** Location of the platform in the network. */
export const platformLocation = 'platform';

/**
 * Simulates the network between locations, which are the availability zones and
 * the platform.
 */
export class FakeNetwork {
  private readonly cuts = new Set<string>();
  /** Fraction of the messages that are lost, 0 to 1. */
  lossRate = 0;
  /** Fraction of the messages that arrive twice, 0 to 1. */
  duplicateRate = 0;

  constructor(
    private readonly events: EventQueue,
    private readonly random: RandomSource,
  ) {}

  /** Cuts the link between two locations. */
  addCut(a: string, b: string): void {
    this.cuts.add(`${a}|${b}`);
    this.cuts.add(`${b}|${a}`);
  }

  /** Restores all cut links. */
  clearCuts(): void {
    this.cuts.clear();
  }

  /** Returns whether the link between two locations is cut. */
  isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a}|${b}`);
  }

  /** Returns a random one-way delay between two locations, in ms. */
  getDelayMs(from: string, to: string): number {
    const minimumMs = from === to ? inZoneDelayMs : crossZoneDelayMs;
    return minimumMs * (1 + this.random.next());
  }

  /**
   * Delivers a message after a delay, unless the link is cut or the message is
   * lost. Some messages are delivered a second time, after a longer delay.
   */
  send(from: string, to: string, deliver: () => void): void {
    if (this.isCut(from, to) || this.random.next() < this.lossRate) return;
    this.events.schedule(this.getDelayMs(from, to), deliver);
    if (this.random.next() >= this.duplicateRate) return;
    this.events.schedule(this.getDelayMs(from, to) * 5, deliver);
  }
}
