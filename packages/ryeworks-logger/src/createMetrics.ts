import {StatsD} from 'hot-shots';

/** Tags of one counter. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters, kept in memory for the status page and sent as StatsD. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount: number): void;
  /** Returns each counter with its tags as `name{tag=value}`. */
  getCounters(): Readonly<Record<string, number>>;
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** StatsD host; nothing is sent without one. */
  readonly host?: string;
  readonly port?: number;
  /** Tags on every counter. */
  readonly tags: MetricTags;
}

/** Names one counter together with its tags. */
function getCounterName(name: string, tags: MetricTags): string {
  const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
  return pairs.length === 0 ? name : `${name}{${pairs.sort().join(',')}}`;
}

/** Creates the counters of one process. */
export function createMetrics(options: MetricsOptions): Metrics {
  const counters: Record<string, number> = {};
  const client = new StatsD({
    host: options.host,
    port: options.port,
    mock: options.host === undefined,
    prefix: 'ryeworks.',
    globalTags: {...options.tags},
    maxBufferSize: 1400,
    errorHandler: () => {},
  });
  return {
    count: (name, tags, amount) => {
      const counterName = getCounterName(name, tags);
      counters[counterName] = (counters[counterName] ?? 0) + amount;
      client.increment(name, amount, {...tags});
    },
    getCounters: () => counters,
    close: () => new Promise(resolve => client.close(() => resolve())),
  };
}
