#!/usr/bin/env node
// First, so that no signal ends the process while the other modules are loaded.
import {stopSignals} from '../signals/stopSignals.js';
import {Command} from 'commander';

/** Exit code for invalid settings, `EX_CONFIG` of sysexits.h. */
const exitInvalidConfig = 78;
/** Exit code for a process that cannot start, or stops after an error. */
const exitFailed = 1;

/** A component that runs until `stop` is called. */
interface Stoppable {
  stop(signalledAtMs?: number): Promise<void>;
}

/** Runs a step. If it fails, prints the error and exits with the code. */
async function runOrExit<T>(
  exitCode: number,
  step: () => T | Promise<T>,
): Promise<T> {
  try {
    return await step();
  } catch (error) {
    console.error((error as Error).message);
    process.exit(exitCode);
  }
}

/** Stops a component and exits, with an error if it cannot be stopped. */
async function stopAndExit(
  running: Stoppable,
  signalledAtMs: number,
): Promise<void> {
  await runOrExit(exitFailed, () => running.stop(signalledAtMs));
  process.exit(0);
}

/**
 * Stops gracefully at the first signal to stop, which may have come already.
 *
 * @param prepare called at the signal, before the stop
 */
function stopAtSignal(running: Stoppable, prepare = () => {}): void {
  stopSignals.handleWith(signalledAtMs => {
    prepare();
    void stopAndExit(running, signalledAtMs);
  });
}

/** Exits if the process is to stop before it has accepted anything. */
function endIfStopRequested(): void {
  if (stopSignals.isStopRequested) process.exit(0);
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
    endIfStopRequested();
    stopAtSignal(await createEntryProcess(settings));
  });

/** Options of the command `platform`. */
interface PlatformOptions {
  readonly settings?: string;
  readonly checkSettings: boolean;
  readonly hedgeRatio: string;
}

program
  .command('platform')
  .description("Serves callers of the users' platform.")
  .option('--settings <file>', 'settings; the platform names them by default')
  .option('--check-settings', 'check the settings and exit', false)
  .option(
    '--hedge-ratio <number>',
    'fraction of requests that may be hedged if the settings name none',
    '0',
  )
  .action(async (options: PlatformOptions) => {
    const platform = await import('@ryeworks/users-platform');
    const file = options.settings ?? platform.getSettingsFile(process.env);
    const [settings, defaults] = await runOrExit(exitInvalidConfig, () => {
      const hedgeRatio = platform.parseHedgeRatio(options.hedgeRatio);
      const loaded = platform.loadNodeSettings(file, {hedgeRatio});
      return [loaded, {hedgeRatio}] as const;
    });
    if (options.checkSettings) {
      console.log(`${file}: ok`);
      return;
    }
    endIfStopRequested();
    const gateway = await runOrExit(exitFailed, () =>
      platform.createPlatformGateway(settings),
    );
    const reloadSettings = platform.watchSettings(
      file,
      settings,
      gateway,
      defaults,
    );
    stopAtError(gateway);
    stopAtSignal(gateway, reloadSettings);
  });

await program.parseAsync();
