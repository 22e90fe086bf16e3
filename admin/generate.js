import {execFileSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import peggy from 'peggy';

/** Folder of the scenario grammar. */
const scenarioFolder = 'packages/ryeworks-lab/src/scenarios';
const grammar = readFileSync(`${scenarioFolder}/scenario.peggy`, 'utf8');
const source = peggy.generate(grammar, {
  output: 'source',
  format: 'es',
  grammarSource: 'scenario.peggy',
});
writeFileSync(
  `${scenarioFolder}/gen/scenarioParser.ts`,
  `// @ts-nocheck\n${source}\n`,
);

execFileSync('npx', ['buf', 'generate'], {
  cwd: 'packages/ryeworks-protocol',
  stdio: 'inherit',
});
