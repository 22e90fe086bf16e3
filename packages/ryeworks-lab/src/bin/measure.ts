#!/usr/bin/env node
import {Command} from 'commander';
import {mkdir} from 'node:fs/promises';
import {writeCapacityPage} from '../measure/capacity/capacityPage.js';
import {runCapacityMeasurement} from '../measure/capacity/runCapacityMeasurement.js';
import {runHedgingMeasurement} from '../measure/runHedgingMeasurement.js';
import {runEntryVmMeasurement} from '../measure/runEntryVmMeasurement.js';
import {runLimitsMeasurement} from '../measure/runLimitsMeasurement.js';
import {runMovesMeasurement} from '../measure/runMovesMeasurement.js';
import {runOverloadMeasurement} from '../measure/runOverloadMeasurement.js';

/** Measurements by name. Each returns whether its targets were met. */
const measurements: Readonly<
  Record<string, (directory: string) => Promise<boolean>>
> = {
  overload: runOverloadMeasurement,
  capacity: runCapacityMeasurement,
  limits: runLimitsMeasurement,
  moves: runMovesMeasurement,
  entry: runEntryVmMeasurement,
  hedging: runHedgingMeasurement,
  'capacity-page': async () => {
    writeCapacityPage();
    return true;
  },
};

const names = Object.keys(measurements).join(', ');

/**
 * Runs a measurement. The exit code is 1 if a target was missed and 2 if the
 * measurement does not exist.
 */
async function runMeasurement(
  name: string,
  options: {out: string},
): Promise<void> {
  const runSelected = measurements[name];
  if (runSelected === undefined) {
    console.error(
      `unknown measurement "${name}"; known measurements: ${names}`,
    );
    process.exitCode = 2;
    return;
  }
  await mkdir(options.out, {recursive: true});
  const isMet = await runSelected(options.out);
  console.log(isMet ? 'targets met' : 'targets missed');
  process.exitCode = isMet ? 0 : 1;
}

await new Command('measure')
  .description('Runs a measurement and writes its figures and plots.')
  .argument('<name>', names)
  .option(
    '--out <directory>',
    'directory for the figures and plots',
    'docs/measurements',
  )
  .action(runMeasurement)
  .parseAsync();
