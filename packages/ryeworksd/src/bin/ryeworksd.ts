#!/usr/bin/env node
import {parseSettings} from '@ryeworks/config';
import {Command} from 'commander';
import {readFile} from 'node:fs/promises';
import {createEntryProcess} from '../createEntryProcess.js';

/** Exit code when settings are wrong. */
const exitInvalidConfig = 78;

const program = new Command('ryeworksd')
  .description('Entry process of ryeworks: serves callers on one VM.')
  .requiredOption('--config <file>', 'settings, JSON with comments')
  .option('--check-config', 'check the settings and exit', false)
  .addHelpText(
    'after',
    '\nExample:\n  ryeworksd --config /etc/ryeworks/ryeworksd.jsonc --check-config',
  );

/** Reads the settings or ends with a message that says what to mend. */
async function loadSettings(file: string) {
  try {
    return parseSettings(await readFile(file, 'utf8'), file);
  } catch (error) {
    console.error((error as Error).message);
    process.exit(exitInvalidConfig);
  }
}

program.action(async (options: {config: string; checkConfig: boolean}) => {
  const settings = await loadSettings(options.config);
  if (options.checkConfig) {
    console.log(`${options.config}: ok`);
    return;
  }
  const entryProcess = await createEntryProcess(settings);
  let isStopping = false;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      void entryProcess.stop().then(() => process.exit(0));
    });
  }
});

await program.parseAsync();
