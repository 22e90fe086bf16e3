import {build} from 'hdr-histogram-js';
import {createTable, TableCell} from './createTable.js';
import {CallResult} from '../load/makeCall.js';

/** Returns whether a call got a complete answer before its deadline. */
export function isAnsweredInTime(result: CallResult): boolean {
  return result.isComplete && result.totalMs <= result.call.kind.deadlineMs;
}

/**
 * Returns a percentile of samples; 0 if there are none. Samples are rounded to
 * 0.01 and the result to 3 significant digits.
 */
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

/**
 * Creates a table of goodput and latency by kind of call. Goodput is the fraction
 * of calls that were answered in time.
 */
export function createCallTable(results: readonly CallResult[]): string {
  const head = [
    'call',
    'tier',
    'sent',
    'good',
    'goodput',
    'first token p50',
    'p95',
    'inter-token p95',
    'total p95',
  ];
  const rows: TableCell[][] = [];
  const kinds = new Map(
    results.map(result => [result.call.kind.name, result.call.kind]),
  );
  const sortedKinds = [...kinds.values()].sort((a, b) => a.tier - b.tier);
  for (const kind of sortedKinds) {
    const kindResults = results.filter(
      result => result.call.kind.name === kind.name,
    );
    const good = kindResults.filter(isAnsweredInTime);
    const streamed = good.filter(result => result.interTokenMs.length > 0);
    const firstTokens = streamed.map(result => result.firstTokenMs);
    const gaps = streamed.flatMap(result => result.interTokenMs);
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
          good.map(result => result.totalMs),
          95,
        ),
      ),
    ]);
  }
  return createTable(head, rows);
}

/** Counts the calls that ended with an error, by error and run status. */
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
