import type {Counter, Histogram, Registry} from 'prom-client';

/** Upper bounds of the buckets of all histograms, in ms. */
const bucketsMs = [5, 20, 50, 100, 200, 400, 800, 1500, 3000, 8000, 20_000];

/** Labels of each counter or histogram. */
export type MetricDefinitions = Readonly<Record<string, readonly string[]>>;

/** Values of the labels of one sample. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters and histograms that are served as text. */
export interface TextMetrics {
  /** Adds 1 to a counter. */
  count(name: string, labels: MetricLabels): void;
  /** Adds a time in ms to a histogram. */
  observe(name: string, labels: MetricLabels, valueMs: number): void;
  /** Returns all of them in the text format of Prometheus. */
  format(): Promise<string>;
}

/** What was sampled of one counter or histogram under one set of labels. */
interface Sample {
  readonly name: string;
  readonly labels: MetricLabels;
  count: number;
  /** Times in ms that the histogram has not been given yet. */
  readonly values: number[];
}

/** The library's side: made when somebody first asks. */
interface Collector {
  readonly registry: Registry;
  readonly counters: ReadonlyMap<string, Counter>;
  readonly histograms: ReadonlyMap<string, Histogram>;
}

/** Times of one histogram after which the library is loaded to take them. */
const maxKeptValues = 2000;

/** Loads the library and creates all counters and histograms. */
async function createCollector(
  counterLabels: MetricDefinitions,
  histogramLabels: MetricDefinitions,
): Promise<Collector> {
  const {Counter, Histogram, Registry} = await import('prom-client');
  const registry = new Registry();
  const registers = [registry];
  const counters = new Map<string, Counter>();
  for (const [name, labelNames] of Object.entries(counterLabels)) {
    const help = name.replaceAll('_', ' ');
    const full = `ryeworks_${name}_total`;
    const counter = new Counter({name: full, help, labelNames, registers});
    counters.set(name, counter);
  }
  const histograms = new Map<string, Histogram>();
  for (const [name, labelNames] of Object.entries(histogramLabels)) {
    const help = name.replaceAll('_', ' ');
    const options = {name: `ryeworks_${name}`, help, labelNames, registers};
    const histogram = new Histogram({...options, buckets: bucketsMs});
    histograms.set(name, histogram);
  }
  return {registry, counters, histograms};
}

/**
 * Creates counters and histograms that a collector fetches. They stand beside
 * the pushed ones of `createMetrics`, which have no place to be fetched from.
 * The library is loaded when somebody first asks, not in a restart.
 */
export function createTextMetrics(
  counterLabels: MetricDefinitions,
  histogramLabels: MetricDefinitions,
): TextMetrics {
  const samples = new Map<string, Sample>();
  let collector: Promise<Collector> | undefined;

  /** Returns the sample of a name under labels. */
  function getSample(name: string, labels: MetricLabels): Sample {
    const key = `${name}|${Object.values(labels).join('|')}`;
    const known = samples.get(key);
    if (known !== undefined) return known;
    const sample = {name, labels, count: 0, values: []};
    samples.set(key, sample);
    return sample;
  }

  /** Hands what was sampled to the library. */
  function flushSamples({counters, histograms}: Collector): void {
    for (const sample of samples.values()) {
      if (sample.count > 0) {
        counters.get(sample.name)?.inc(sample.labels, sample.count);
        sample.count = 0;
      }
      const histogram = histograms.get(sample.name);
      for (const value of sample.values) {
        histogram?.observe(sample.labels, value);
      }
      sample.values.length = 0;
    }
  }

  /** Loads the library, if need be, and hands it what was sampled. */
  async function getCollector(): Promise<Collector> {
    collector ??= createCollector(counterLabels, histogramLabels);
    const ready = await collector;
    flushSamples(ready);
    return ready;
  }

  return {
    count: (name, labels) => {
      getSample(name, labels).count += 1;
    },
    observe: (name, labels, valueMs) => {
      const {values} = getSample(name, labels);
      values.push(valueMs);
      if (values.length === maxKeptValues) void getCollector();
    },
    format: async () => {
      const {registry} = await getCollector();
      return registry.metrics();
    },
  };
}
