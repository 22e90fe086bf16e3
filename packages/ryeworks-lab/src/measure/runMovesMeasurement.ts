import {writeFile} from 'node:fs/promises';
import {createTable} from '../report/createTable.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {writePlot} from '../report/writePlot.js';
import {measureMove, MoveResult, versionKinds} from './moves.js';

/** Seeds of each kind of version. */
const seedCount = 30;

/** Targets of the issue. */
const maxBadShare = 0.02;
const minInTimeRatio = 0.99;
const maxFalseAlarmRatio = 0.01;

/** Runs moves to good and bad versions over many seeds. */
export async function runMovesMeasurement(directory: string): Promise<boolean> {
  const results: MoveResult[] = [];
  const rows: (string | number)[][] = [];
  let isMet = true;
  for (const version of Object.keys(versionKinds)) {
    const ofKind: MoveResult[] = [];
    for (let seed = 1; seed <= seedCount; seed++) {
      ofKind.push(measureMove(version, seed));
    }
    results.push(...ofKind);
    const withdrawn = ofKind.filter(one => one.isWithdrawn).length;
    const inTime = ofKind.filter(one => one.isDoneInTime).length;
    const meanShare =
      ofKind.reduce((sum, one) => sum + one.share, 0) / ofKind.length;
    const worstShare = Math.max(...ofKind.map(one => one.share));
    const after = ofKind.reduce((sum, one) => sum + one.afterVerdict, 0);
    const isGood = version === 'good';
    const isKindMet = isGood
      ? inTime >= seedCount * minInTimeRatio &&
        withdrawn <= seedCount * maxFalseAlarmRatio
      : withdrawn === seedCount && meanShare <= maxBadShare && after === 0;
    isMet &&= isKindMet;
    rows.push([
      version,
      `${withdrawn} of ${seedCount}`,
      `${inTime} of ${seedCount}`,
      isGood ? '-' : (meanShare * 100).toFixed(2),
      isGood ? '-' : (worstShare * 100).toFixed(2),
      getPercentile(
        ofKind.map(one => one.newRequests),
        50,
      ).toFixed(0),
      (
        getPercentile(
          ofKind.map(one => one.exposureMs),
          50,
        ) / 1000
      ).toFixed(1),
      after,
      isKindMet ? 'met' : 'missed',
    ]);
  }
  const head = [
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
  console.log(createTable(head, rows));
  console.log(`seeds 1 to ${seedCount}`);
  const json = JSON.stringify(results, null, 1);
  await writeFile(`${directory}/moves.json`, `${json}\n`);
  await writePlot(`${directory}/moves.svg`, {
    title: 'Share of the window on the new version',
    x: {field: 'seed', title: 'seed'},
    y: {field: 'share', title: 'share of traffic'},
    series: 'version',
    rows: results.filter(one => one.version !== 'good').map(one => ({...one})),
  });
  return isMet;
}
