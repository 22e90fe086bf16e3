import {writeFile} from 'node:fs/promises';
import {createTable} from '../report/createTable.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {writePlot} from '../report/writePlot.js';
import {measureMove, MoveResult, versionKinds} from './moves.js';

/** Number of seeds with which each kind of version is measured. */
const seedCount = 30;

/** Largest mean share of the requests that a bad version may receive. */
const maxBadShare = 0.02;
/** Smallest ratio of moves to the good version that must be done in time. */
const minInTimeRatio = 0.99;
/** Largest ratio of moves to the good version that may be withdrawn. */
const maxFalseAlarmRatio = 0.01;

/**
 * Measures moves to a good version and to bad versions with many seeds. Prints
 * the results and writes them to `moves.json` and `moves.svg`. Returns whether
 * every target was met.
 */
export async function runMovesMeasurement(directory: string): Promise<boolean> {
  const results: MoveResult[] = [];
  const rows: (string | number)[][] = [];
  let isEveryTargetMet = true;
  for (const version of Object.keys(versionKinds)) {
    const versionResults: MoveResult[] = [];
    for (let seed = 1; seed <= seedCount; seed++) {
      versionResults.push(measureMove(version, seed));
    }
    results.push(...versionResults);
    const withdrawn = versionResults.filter(
      result => result.isWithdrawn,
    ).length;
    const inTime = versionResults.filter(result => result.isDoneInTime).length;
    const meanShare =
      versionResults.reduce((sum, result) => sum + result.share, 0) /
      versionResults.length;
    const worstShare = Math.max(...versionResults.map(result => result.share));
    const dispatchesAfterVerdict = versionResults.reduce(
      (sum, result) => sum + result.afterVerdict,
      0,
    );
    const isGood = version === 'good';
    const isTargetMet = isGood
      ? inTime >= seedCount * minInTimeRatio &&
        withdrawn <= seedCount * maxFalseAlarmRatio
      : withdrawn === seedCount &&
        meanShare <= maxBadShare &&
        dispatchesAfterVerdict === 0;
    isEveryTargetMet &&= isTargetMet;
    rows.push([
      version,
      `${withdrawn} of ${seedCount}`,
      `${inTime} of ${seedCount}`,
      isGood ? '-' : (meanShare * 100).toFixed(2),
      isGood ? '-' : (worstShare * 100).toFixed(2),
      getPercentile(
        versionResults.map(result => result.newRequests),
        50,
      ).toFixed(0),
      (
        getPercentile(
          versionResults.map(result => result.exposureMs),
          50,
        ) / 1000
      ).toFixed(1),
      dispatchesAfterVerdict,
      isTargetMet ? 'met' : 'missed',
    ]);
  }
  const columns = [
    'version',
    'withdrawn',
    'done in time',
    'mean share %',
    'worst share %',
    'requests p50',
    'first symptom to last request p50, s',
    'after verdict',
    'targets',
  ];
  console.log(createTable(columns, rows));
  console.log(`seeds 1 to ${seedCount}`);
  const json = JSON.stringify(results, null, 1);
  await writeFile(`${directory}/moves.json`, `${json}\n`);
  await writePlot(`${directory}/moves.svg`, {
    title: 'Share of the window on the new version',
    x: {field: 'seed', title: 'seed'},
    y: {field: 'share', title: 'share of traffic'},
    series: 'version',
    rows: results
      .filter(result => result.version !== 'good')
      .map(result => ({...result})),
  });
  return isEveryTargetMet;
}
