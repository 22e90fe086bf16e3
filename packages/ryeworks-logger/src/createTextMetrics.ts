import {Counter, Histogram, Registry} from 'prom-client';

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
  readonly contentType: string;
}

/**
 * Creates counters and histograms that a collector fetches. They stand beside
 * the pushed ones of `createMetrics`, which have no place to be fetched from.
 */
export function createTextMetrics(
  counters: MetricDefinitions,
  histograms: MetricDefinitions,
): TextMetrics {
  const registry = new Registry();
  const registers = [registry];
  const counterByName = new Map<string, Counter>();
  for (const [name, labelNames] of Object.entries(counters)) {
    const full = `ryeworks_${name}_total`;
    const help = name.replaceAll('_', ' ');
    const counter = new Counter({name: full, help, labelNames, registers});
    counterByName.set(name, counter);
  }
  const histogramByName = new Map<string, Histogram>();
  for (const [name, labelNames] of Object.entries(histograms)) {
    const full = `ryeworks_${name}`;
    const help = name.replaceAll('_', ' ');
    const options = {name: full, help, labelNames, registers};
    const histogram = new Histogram({...options, buckets: bucketsMs});
    histogramByName.set(name, histogram);
  }
  return {
    count: (name, labels) => counterByName.get(name)?.inc(labels),
    observe: (name, labels, valueMs) =>
      histogramByName.get(name)?.observe(labels, valueMs),
    format: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
