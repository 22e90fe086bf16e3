import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Number of values that `next` can return. */
const resolution = 0x7fffffff;

/** Seeded random numbers; the same seed gives the same sequence. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number;
}

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    next: () =>
      unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution,
    nextInt: bound => unsafeUniformIntDistribution(0, bound - 1, generator),
  };
}

/** Picks a random element; undefined if there is none. */
export function pickRandom<T>(
  random: RandomSource,
  items: readonly T[],
): T | undefined {
  return items.length === 0 ? undefined : items[random.nextInt(items.length)];
}

/** Picks up to `count` different random elements. */
export function sampleRandom<T>(
  random: RandomSource,
  items: readonly T[],
  count: number,
): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(random.nextInt(remaining.length), 1));
  }
  return picked;
}
