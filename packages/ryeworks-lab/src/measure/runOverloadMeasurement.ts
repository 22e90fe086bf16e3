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

/** Loads as multiples of the engines' capacity. */
const loadFactors = [0.7, 1, 1.5, 3];
const seed = 1;

/** Targets of the issue. */
const topTierTarget = 0.95;
const fillTarget = 0.9;

/** Formats the rows of a measurement. */
function formatResults(rows: readonly OverloadResult[]): string {
  const head = [
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
    head,
    rows.map(row => [
      row.routing,
      `${row.factor} x`,
      row.fault,
      ...row.goodput.map(one => one.toFixed(3)),
      row.fill.toFixed(3),
      row.wastedPromptTokens,
      `${row.firstTokenP50Ms.toFixed(0)} ms`,
      `${row.firstTokenP95Ms.toFixed(0)} ms`,
      `${row.interTokenP95Ms.toFixed(1)} ms`,
      row.duplicates,
      row.wrongNotRun,
      row.inversions,
    ]),
  );
}

/** Measures both routing policies under overload and faults. */
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
  const [none] = overloadFaults;
  const rows: OverloadResult[] = [];
  for (const routing of comparedPolicies) {
    for (const factor of loadFactors) {
      const options = {...shared, routing, factor, fault: none};
      rows.push(measureOverload(options, meanCostMs));
    }
    for (const fault of overloadFaults.slice(1)) {
      const options = {...shared, routing, factor: 1, fault};
      rows.push(measureOverload(options, meanCostMs));
    }
  }
  const alone = measureOverload(
    {
      ...shared,
      routing: 'grants',
      factor: 3,
      fault: none,
      isTopTierAlone: true,
    },
    meanCostMs,
  );
  console.log(formatResults(rows));
  const atThree = rows.find(
    row => row.routing === 'grants' && row.factor === 3 && row.fault === 'none',
  )!;
  const ratio = atThree.goodput[0] / alone.goodput[0];
  const chosen = rows.filter(row => row.routing === 'grants');
  const broken = chosen.reduce(
    (sum, row) => sum + row.duplicates + row.wrongNotRun,
    0,
  );
  console.log(
    `tier 1 at 3 x over tier 1 alone: ${ratio.toFixed(3)} ` +
      `(target ${topTierTarget}); fill at 3 x: ${atThree.fill.toFixed(3)} ` +
      `(target ${fillTarget}); duplicates and wrong "not run": ${broken}`,
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
  return ratio >= topTierTarget && atThree.fill >= fillTarget && broken === 0;
}
