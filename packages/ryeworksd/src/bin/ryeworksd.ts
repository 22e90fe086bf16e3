#!/usr/bin/env node
import {Command} from 'commander';

/** Exit code for invalid settings, `EX_CONFIG` of sysexits.h. */
const exitInvalidConfig = 78;
/** Exit code for a process that cannot start, or stops after an error. */
const exitFailed = 1;

// SIGHUP announces changed settings. Without a handler it would end a process
// that is still starting, which reads the latest settings anyway.
process.on('SIGHUP', () => {});

/** A component that runs until `stop` is called. */
interface Stoppable {
  stop(): Promise<void>;
}

/** Runs a step. If it fails, prints the error and exits with the code. */
async function runOrExit<T>(
  exitCode: number,
  step: () => Promise<T>,
): Promise<T> {
  try {
    return await step();
  } catch (error) {
    console.error((error as Error).message);
    process.exit(exitCode);
  }
}

/** Stops gracefully at the first SIGTERM or SIGINT. */
function stopAtSignal(running: Stoppable): void {
  let isStopping = false;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      void running.stop().then(() => process.exit(0));
    });
  }
}

/** A component that reports errors that nothing has caught. */
interface ErrorReporter extends Stoppable {
  reportUncaughtError(error: unknown): void;
}

/**
 * Stops gracefully after an error that nothing has caught, including rejections:
 * the state of the process may be wrong, but most requests in progress can still
 * be completed. Node would end the process at once.
 */
function stopAtError(running: ErrorReporter): void {
  process.on('uncaughtException', error => {
    running.reportUncaughtError(error);
    void running.stop().finally(() => process.exit(exitFailed));
  });
}

const program = new Command('ryeworksd').description(
  'Entry process of ryeworks: serves callers on one VM.',
);

// Each command imports only the modules it needs, to keep restarts short.
program
  .command('serve', {isDefault: true})
  .description("Serves the product's own interface.")
  .requiredOption('--config <file>', 'settings, JSON with comments')
  .option('--check-config', 'check the settings and exit', false)
  .addHelpText(
    'after',
    '\nExample:\n  ryeworksd --config /etc/ryeworks/ryeworksd.jsonc --check-config',
  )
  .action(async (options: {config: string; checkConfig: boolean}) => {
    const {config: file} = options;
    const {parseSettings} = await import('@ryeworks/config');
    const {readFile} = await import('node:fs/promises');
    const settings = await runOrExit(exitInvalidConfig, async () =>
      parseSettings(await readFile(file, 'utf8'), file),
    );
    if (options.checkConfig) {
      console.log(`${file}: ok`);
      return;
    }
    const {createEntryProcess} = await import('../createEntryProcess.js');
    stopAtSignal(await createEntryProcess(settings));
  });

program
  .command('platform')
  .description("Serves callers of the users' platform.")
  .option('--settings <file>', 'settings; the platform names them by default')
  .option('--check-settings', 'check the settings and exit', false)
  .action(async (options: {settings?: string; checkSettings: boolean}) => {
    const platform = await import('@ryeworks/users-platform');
    const file = options.settings ?? platform.getSettingsFile(process.env);
    const settings = await runOrExit(exitInvalidConfig, () =>
      platform.loadNodeSettings(file),
    );
    if (options.checkSettings) {
      console.log(`${file}: ok`);
      return;
    }
    const gateway = await runOrExit(exitFailed, () =>
      platform.createPlatformGateway(settings),
    );
    platform.watchSettings(file, gateway);
    stopAtError(gateway);
    stopAtSignal(gateway);
  });

await program.parseAsync();
