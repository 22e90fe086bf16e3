import {StatsD} from 'hot-shots';

/** Tag values of one counter. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters that are kept in memory for the status page and sent to StatsD. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount: number): void;
  /** Returns the counters by name and tags, as `name{tag=value}`. */
  getCounters(): Readonly<Record<string, number>>;
  /** Sends the buffered counts and closes the socket. */
  close(): Promise<void>;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** StatsD host. If undefined, nothing is sent. */
  readonly host?: string;
  readonly port?: number;
  /** Tags that are added to every counter. */
  readonly tags: MetricTags;
}

/** Returns the name of a counter together with its tags. */
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
