import {writeFile} from 'node:fs/promises';
import {createTable} from '../report/createTable.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {hedgingFaults, hedgingStrategies, measureHedging} from './hedging.js';

const loads = [0.3, 0.7, 0.95, 1.2];
const seeds = [1, 2, 3, 4];
/** Largest share of extra calls of hedged requests: the ratio that is set. */
const maxExtraShare = 0.05;

/**
 * Compares latencies without and with hedged requests. Prints the results and
 * writes them to `hedging.json`. Returns whether the extra calls kept to the ratio.
 */
export async function runHedgingMeasurement(
  directory: string,
): Promise<boolean> {
  const rows: Array<Record<string, string | number>> = [];
  let isMet = true;
  for (const fault of hedgingFaults) {
    for (const load of loads) {
      for (const strategy of hedgingStrategies) {
        const results = seeds.map(seed =>
          measureHedging({fault, load, seed, strategy}),
        );
        const latenciesMs = results.flatMap(result => result.latenciesMs);
        let requests = 0;
        let extraCalls = 0;
        for (const result of results) {
          requests += result.requests;
          extraCalls += result.extraCalls;
        }
        const percentiles = [50, 95, 99, 99.9].map(percentile =>
          Math.round(getPercentile(latenciesMs, percentile)),
        );
        const [p50, p95, p99, p999] = percentiles;
        const extraShare = extraCalls / requests;
        if (strategy === 'quantile') isMet &&= extraShare <= maxExtraShare;
        rows.push({
          fault,
          load,
          strategy,
          requests,
          served: (latenciesMs.length / requests).toFixed(3),
          p50,
          p95,
          p99,
          p999,
          extraPercent: (extraShare * 100).toFixed(2),
        });
      }
    }
  }
  const columns = Object.keys(rows[0]);
  console.log(
    createTable(
      columns,
      rows.map(row => columns.map(column => row[column])),
    ),
  );
  console.log(`seeds ${seeds.join(', ')}`);
  const json = JSON.stringify(rows, null, 1);
  await writeFile(`${directory}/hedging.json`, `${json}\n`);
  return isMet;
}
