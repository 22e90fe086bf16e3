#!/usr/bin/env node
import {Command} from 'commander';
import {findScenarios} from '../scenarios/findScenarios.js';
import {runScenario} from '../scenarios/runScenario.js';

/** Options of the command line. */
interface ScenarioOptions {
  readonly seed: number;
  readonly seeds: number;
}

/** Runs the scenarios whose name contains a text, over some seeds. */
function runScenarios(namePart: string, options: ScenarioOptions): void {
  let passed = 0;
  let failed = 0;
  for (const {name, text} of findScenarios(namePart)) {
    for (let index = 0; index < options.seeds; index++) {
      const seed = options.seed + index;
      const result = runScenario(text, `${name}.scenario`, seed);
      const unmet = result.expectations.filter(one => !one.isMet);
      const verdict = unmet.length === 0 ? 'ok    ' : 'not ok';
      console.log(`${verdict} ${name} (seed ${seed}): ${result.title}`);
      for (const {line, text: expected, actual} of unmet) {
        console.log(`         line ${line}: ${expected}, found ${actual}`);
      }
      if (unmet.length === 0) passed += 1;
      else failed += 1;
    }
  }
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
}

await new Command('scenarios')
  .description('Runs scenarios of failures in virtual time.')
  .argument('[name]', 'part of the names of the scenarios to run', '')
  .option('--seed <number>', 'first seed', Number, 1)
  .option('--seeds <count>', 'seeds for each scenario', Number, 1)
  .action(runScenarios)
  .parseAsync();
