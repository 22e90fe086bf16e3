import type {Counter, Histogram, Registry} from 'prom-client';

/** The part of prom-client that is used. */
export type PrometheusClient = Pick<
  typeof import('prom-client'),
  'Counter' | 'Gauge' | 'Histogram' | 'Registry'
>;

/** Upper bounds of the buckets of every histogram, in ms. */
const bucketsMs = [5, 20, 50, 100, 200, 400, 800, 1500, 3000, 8000, 20_000];

/** Label names of each counter or histogram, by metric name. */
export type MetricDefinitions = Readonly<Record<string, readonly string[]>>;

/** Functions that read the current value of each gauge, by metric name. */
export type GaugeReaders = Readonly<Record<string, () => number>>;

/** Label values of one observation. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters and histograms in the text format of Prometheus. */
export interface PrometheusMetrics {
  /** Increments a counter by 1. */
  count(name: string, labels: MetricLabels): void;
  /** Adds a time in ms to a histogram. */
  observe(name: string, labels: MetricLabels, valueMs: number): void;
  /** Returns all counters and histograms in the text format of Prometheus. */
  format(): Promise<string>;
}

/**
 * Observations of one counter or histogram with one set of label values that
 * were not yet passed to prom-client.
 */
interface PendingSeries {
  readonly name: string;
  readonly labels: MetricLabels;
  count: number;
  /** Times to add to the histogram, in ms. */
  readonly values: number[];
}

/** The counters and histograms that are registered with prom-client. */
interface RegisteredMetrics {
  readonly registry: Registry;
  readonly counters: ReadonlyMap<string, Counter>;
  readonly histograms: ReadonlyMap<string, Histogram>;
}

/**
 * Number of pending values of one series at which prom-client is loaded to take
 * them even if the metrics were not requested.
 */
const maxPendingValues = 2000;

/** What is known of the metrics when they are created. */
export interface PrometheusMetricsOptions {
  readonly counterLabels: MetricDefinitions;
  readonly histogramLabels: MetricDefinitions;
  readonly gaugeReaders?: GaugeReaders;
  /** Called when observations are lost, since prom-client cannot take them. */
  readonly reportError: (error: Error) => void;
  /** Loads prom-client; from its package by default. */
  readonly loadClient?: () => Promise<PrometheusClient>;
}

/**
 * Loads prom-client. It is a CommonJS package: a bundle provides only the default
 * export of such a package if it is imported dynamically.
 */
async function loadPrometheusClient(): Promise<PrometheusClient> {
  const {default: client} = await import('prom-client');
  return client;
}

/** Loads prom-client and creates all counters, histograms and gauges. */
async function createRegisteredMetrics({
  counterLabels,
  gaugeReaders = {},
  histogramLabels,
  loadClient = loadPrometheusClient,
}: PrometheusMetricsOptions): Promise<RegisteredMetrics> {
  const {Counter, Gauge, Histogram, Registry} = await loadClient();
  const registry = new Registry();
  const registers = [registry];
  const counters = new Map<string, Counter>();
  for (const [name, labelNames] of Object.entries(counterLabels)) {
    const help = name.replaceAll('_', ' ');
    const fullName = `ryeworks_${name}_total`;
    const counter = new Counter({name: fullName, help, labelNames, registers});
    counters.set(name, counter);
  }
  const histograms = new Map<string, Histogram>();
  for (const [name, labelNames] of Object.entries(histogramLabels)) {
    const help = name.replaceAll('_', ' ');
    const options = {name: `ryeworks_${name}`, help, labelNames, registers};
    const histogram = new Histogram({...options, buckets: bucketsMs});
    histograms.set(name, histogram);
  }
  for (const [name, read] of Object.entries(gaugeReaders)) {
    const help = name.replaceAll('_', ' ');
    new Gauge({
      name: `ryeworks_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }
  return {registry, counters, histograms};
}

/**
 * Creates counters and histograms that a Prometheus server scrapes, in contrast
 * to those of `createMetrics`, which are pushed and cannot be scraped.
 * prom-client is not loaded in a restart, but when the metrics are first
 * requested or a series has many pending values. If it cannot be loaded or does
 * not take a series, the pending values are dropped and the error is reported;
 * the next request for the metrics tries again.
 */
export function createPrometheusMetrics(
  options: PrometheusMetricsOptions,
): PrometheusMetrics {
  const {reportError} = options;
  const pendingByKey = new Map<string, PendingSeries>();
  let registeredMetrics: Promise<RegisteredMetrics> | undefined;

  /** Returns the pending series of a metric with these label values. */
  function getPendingSeries(name: string, labels: MetricLabels): PendingSeries {
    const key = `${name}|${Object.values(labels).join('|')}`;
    const existing = pendingByKey.get(key);
    if (existing !== undefined) return existing;
    const series = {name, labels, count: 0, values: []};
    pendingByKey.set(key, series);
    return series;
  }

  /** Passes the pending observations of one series to prom-client. */
  function flushSeries(
    {counters, histograms}: RegisteredMetrics,
    {count, labels, name, values}: PendingSeries,
  ): void {
    if (count > 0) counters.get(name)?.inc(labels, count);
    const histogram = histograms.get(name);
    for (const value of values) histogram?.observe(labels, value);
  }

  /** Passes all pending observations to prom-client. */
  function flushPending(metrics: RegisteredMetrics): void {
    for (const series of pendingByKey.values()) {
      const pending = {...series, values: series.values.splice(0)};
      series.count = 0;
      try {
        flushSeries(metrics, pending);
      } catch (error) {
        reportError(error as Error);
      }
    }
  }

  /** Drops the pending times, which would take ever more memory. */
  function dropPendingValues(): void {
    for (const {values} of pendingByKey.values()) values.length = 0;
  }

  /** Loads prom-client if needed and brings its metrics up to date. */
  async function getRegisteredMetrics(): Promise<RegisteredMetrics> {
    registeredMetrics ??= createRegisteredMetrics(options);
    try {
      const metrics = await registeredMetrics;
      flushPending(metrics);
      return metrics;
    } catch (error) {
      registeredMetrics = undefined;
      dropPendingValues();
      throw error;
    }
  }

  /** Makes room in a series with many pending values; never fails. */
  async function passPendingValues(): Promise<void> {
    try {
      await getRegisteredMetrics();
    } catch (error) {
      reportError(error as Error);
    }
  }

  return {
    count: (name, labels) => {
      getPendingSeries(name, labels).count += 1;
    },
    observe: (name, labels, valueMs) => {
      const {values} = getPendingSeries(name, labels);
      values.push(valueMs);
      if (values.length === maxPendingValues) void passPendingValues();
    },
    format: async () => {
      try {
        const {registry} = await getRegisteredMetrics();
        return await registry.metrics();
      } catch (error) {
        reportError(error as Error);
        throw error;
      }
    },
  };
}
