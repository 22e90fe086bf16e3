#!/usr/bin/env node
import {Command} from 'commander';
import {findScenarios} from '../scenarios/findScenarios.js';
import {runScenario} from '../scenarios/runScenario.js';

/** Command-line options. */
interface ScenarioOptions {
  readonly seed: number;
  readonly seeds: number;
}

/** Runs the scenarios whose names contain a text, each with several seeds. */
function runScenarios(namePart: string, options: ScenarioOptions): void {
  let passed = 0;
  let failed = 0;
  for (const {name, text} of findScenarios(namePart)) {
    for (let index = 0; index < options.seeds; index++) {
      const seed = options.seed + index;
      const result = runScenario(text, `${name}.scenario`, seed);
      const unmet = result.expectations.filter(
        expectation => !expectation.isMet,
      );
      const verdict = unmet.length === 0 ? 'ok    ' : 'not ok';
      console.log(`${verdict} ${name} (seed ${seed}): ${result.title}`);
      for (const {line, text: expected, actual} of unmet) {
        console.log(`         line ${line}: ${expected}, got ${actual}`);
      }
      if (unmet.length === 0) passed += 1;
      else failed += 1;
    }
  }
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
}

await new Command('scenarios')
  .description('Runs failure scenarios in virtual time.')
  .argument('[name]', 'text that the names of the scenarios contain', '')
  .option('--seed <number>', 'first seed', Number, 1)
  .option('--seeds <count>', 'number of seeds for each scenario', Number, 1)
  .action(runScenarios)
  .parseAsync();
