import {writeFile} from 'node:fs/promises';
import {createTable} from '../report/createTable.js';
import {writePlot} from '../report/writePlot.js';
import {
  comparedPolicies,
  measureCapacity,
  measureMeanCostMs,
  measureOverload,
  overloadFaults,
  OverloadResult,
} from './overload.js';

/** The measured loads, as multiples of the engines' capacity. */
const loadFactors = [0.7, 1, 1.5, 3];
const seed = 1;

/**
 * Target of the goodput of the highest tier at three times the capacity,
 * relative to its goodput without the other tiers.
 */
const topTierTarget = 0.95;
/** Target of the fill at three times the capacity. */
const fillTarget = 0.9;

/** Formats the results as a table. */
function formatResults(results: readonly OverloadResult[]): string {
  const columns = [
    'routing',
    'load',
    'fault',
    'goodput tier 1',
    'tier 2',
    'tier 3',
    'fill',
    'wasted prompt tokens',
    'first token p50',
    'p95',
    'between tokens p95',
    'duplicates',
    'wrong not-run',
    'inversions',
  ];
  return createTable(
    columns,
    results.map(result => [
      result.routing,
      `${result.factor} x`,
      result.fault,
      ...result.goodput.map(goodput => goodput.toFixed(3)),
      result.fill.toFixed(3),
      result.wastedPromptTokens,
      `${result.firstTokenP50Ms.toFixed(0)} ms`,
      `${result.firstTokenP95Ms.toFixed(0)} ms`,
      `${result.interTokenP95Ms.toFixed(1)} ms`,
      result.duplicates,
      result.wrongNotRun,
      result.inversions,
    ]),
  );
}

/**
 * Measures both routing policies under overload and faults. Prints the results
 * and writes them to `overload.json` and `overload.svg`. Returns whether every
 * target was met.
 */
export async function runOverloadMeasurement(
  directory: string,
): Promise<boolean> {
  const capacity = measureCapacity(seed);
  const meanCostMs = measureMeanCostMs(seed);
  console.log(
    `capacity: ${capacity.callsPerSecond.toFixed(0)} calls/s of the mix, ` +
      `${capacity.costPerSecond.toFixed(0)} ms of engine time a second; ` +
      `seed ${seed}`,
  );
  const shared = {
    seed,
    capacityCostPerSecond: capacity.costPerSecond,
    isTopTierAlone: false,
  };
  const [noFault] = overloadFaults;
  const rows: OverloadResult[] = [];
  for (const routing of comparedPolicies) {
    for (const factor of loadFactors) {
      const options = {...shared, routing, factor, fault: noFault};
      rows.push(measureOverload(options, meanCostMs));
    }
    for (const fault of overloadFaults.slice(1)) {
      const options = {...shared, routing, factor: 1, fault};
      rows.push(measureOverload(options, meanCostMs));
    }
  }
  // For comparison: the load of the highest tier without the other tiers.
  const alone = measureOverload(
    {
      ...shared,
      routing: 'grants',
      factor: 3,
      fault: noFault,
      isTopTierAlone: true,
    },
    meanCostMs,
  );
  console.log(formatResults(rows));
  const tripleLoad = rows.find(
    row => row.routing === 'grants' && row.factor === 3 && row.fault === 'none',
  )!;
  const topTierRatio = tripleLoad.goodput[0] / alone.goodput[0];
  const grantRows = rows.filter(row => row.routing === 'grants');
  const violations = grantRows.reduce(
    (sum, row) => sum + row.duplicates + row.wrongNotRun,
    0,
  );
  console.log(
    `tier 1 at 3 x over tier 1 alone: ${topTierRatio.toFixed(3)} ` +
      `(target ${topTierTarget}); fill at 3 x: ${tripleLoad.fill.toFixed(3)} ` +
      `(target ${fillTarget}); duplicates and wrong "not run": ${violations}`,
  );
  const report = {seed, capacity, meanCostMs, rows, alone};
  const json = JSON.stringify(report, null, 2);
  await writeFile(`${directory}/overload.json`, `${json}\n`);
  await writePlot(`${directory}/overload.svg`, {
    title: 'Goodput of the highest tier',
    x: {field: 'factor', title: 'load over capacity'},
    y: {field: 'topTier', title: 'goodput of tier 1'},
    series: 'routing',
    rows: rows
      .filter(row => row.fault === 'none')
      .map(row => ({...row, topTier: row.goodput[0]})),
  });
  return (
    topTierRatio >= topTierTarget &&
    tripleLoad.fill >= fillTarget &&
    violations === 0
  );
}
