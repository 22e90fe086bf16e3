import {createHttpPlatform, PlatformPort} from '@ryeworks/platform';
import {Command} from 'commander';
import {getExitCode} from './exitCodes.js';

/** Context in which a command runs. */
export interface CommandContext {
  readonly platform: PlatformPort;
  /** Whether to print results as JSON, for programs, instead of as text. */
  readonly isJson: boolean;
  /** Wall-clock time at which the command started, in ms since 1970. */
  readonly wallClockMs: number;
}

/** Options that all commands share. */
interface SharedOptions {
  readonly platformUrl: string;
  readonly platformToken: string;
  readonly json: boolean;
}

/** Prints a result as JSON or as text, depending on the context. */
export function printResult(
  context: CommandContext,
  value: unknown,
  text: string,
): void {
  console.log(context.isJson ? JSON.stringify(value, null, 2) : text);
}

/**
 * Runs a command with access to the platform. Prints an error that it throws
 * and sets the matching exit code.
 */
export async function runCommand(
  command: Command,
  action: (context: CommandContext) => Promise<void>,
): Promise<void> {
  const options = command.optsWithGlobals<SharedOptions>();
  const platform = createHttpPlatform({
    url: options.platformUrl,
    token: options.platformToken,
  });
  try {
    const wallClockMs = Date.now();
    await action({platform, isJson: options.json, wallClockMs});
  } catch (error) {
    console.error((error as Error).message);
    process.exitCode = getExitCode(error);
  } finally {
    await platform.close();
  }
}
