import {build} from 'hdr-histogram-js';
import {createTable, TableCell} from './createTable.js';
import {CallResult} from '../load/makeCall.js';

/** Tells whether an answer was whole and in time. */
export function isAnsweredInTime(result: CallResult): boolean {
  return result.isComplete && result.totalMs <= result.call.kind.deadlineMs;
}

/** Returns a percentile of samples, 0 without any. */
export function getPercentile(
  samples: readonly number[],
  percentile: number,
): number {
  if (samples.length === 0) return 0;
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const sample of samples) {
    histogram.recordValue(Math.max(0, Math.round(sample * 100)));
  }
  return histogram.getValueAtPercentile(percentile) / 100;
}

/** Creates a table of goodput and latency by kind of call. */
export function createCallTable(results: readonly CallResult[]): string {
  const head = [
    'call',
    'tier',
    'sent',
    'good',
    'goodput',
    'first token p50',
    'p95',
    'between tokens p95',
    'total p95',
  ];
  const rows: TableCell[][] = [];
  const kinds = new Map(
    results.map(one => [one.call.kind.name, one.call.kind]),
  );
  const sortedKinds = [...kinds.values()].sort((a, b) => a.tier - b.tier);
  for (const kind of sortedKinds) {
    const kindResults = results.filter(one => one.call.kind.name === kind.name);
    const good = kindResults.filter(isAnsweredInTime);
    const streamed = good.filter(one => one.interTokenMs.length > 0);
    const firstTokens = streamed.map(one => one.firstTokenMs);
    const gaps = streamed.flatMap(one => one.interTokenMs);
    const formatMs = (value: number) =>
      value === 0 ? '-' : `${value.toFixed(0)} ms`;
    rows.push([
      kind.name,
      kind.tier,
      kindResults.length,
      good.length,
      (good.length / kindResults.length).toFixed(3),
      formatMs(getPercentile(firstTokens, 50)),
      formatMs(getPercentile(firstTokens, 95)),
      formatMs(getPercentile(gaps, 95)),
      formatMs(
        getPercentile(
          good.map(one => one.totalMs),
          95,
        ),
      ),
    ]);
  }
  return createTable(head, rows);
}

/** Counts the refusals and failures by kind. */
export function countErrors(
  results: readonly CallResult[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {error, ran} of results) {
    if (error === '') continue;
    const name = `${error} (${ran || 'no answer'})`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
