import {execFileSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import peggy from 'peggy';

const lab = 'packages/ryeworks-lab/src/scenarios';
const grammar = readFileSync(`${lab}/scenario.peggy`, 'utf8');
const source = peggy.generate(grammar, {
  output: 'source',
  format: 'es',
  grammarSource: 'scenario.peggy',
});
writeFileSync(`${lab}/gen/scenarioParser.ts`, `// @ts-nocheck\n${source}\n`);

execFileSync('npx', ['buf', 'generate'], {
  cwd: 'packages/ryeworks-protocol',
  stdio: 'inherit',
});
