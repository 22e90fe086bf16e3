import {createHttpPlatform, PlatformPort} from '@ryeworks/platform';
import {Command} from 'commander';
import {getExitCode} from './exitCodes.js';

/** What every command works with. */
export interface CommandContext {
  readonly platform: PlatformPort;
  /** Whether to print JSON for programs. */
  readonly isJson: boolean;
  /** Wall-clock time of the call, in ms since 1970. */
  readonly wallClockMs: number;
}

/** Options that every command has. */
interface SharedOptions {
  readonly platformUrl: string;
  readonly platformToken: string;
  readonly json: boolean;
}

/** Prints a value for people or as JSON. */
export function printResult(
  context: CommandContext,
  value: unknown,
  text: string,
): void {
  console.log(context.isJson ? JSON.stringify(value, null, 2) : text);
}

/** Runs the work of a command and turns errors into exit codes. */
export async function runCommand(
  command: Command,
  work: (context: CommandContext) => Promise<void>,
): Promise<void> {
  const options = command.optsWithGlobals<SharedOptions>();
  const platform = createHttpPlatform({
    url: options.platformUrl,
    token: options.platformToken,
  });
  try {
    const wallClockMs = Date.now();
    await work({platform, isJson: options.json, wallClockMs});
  } catch (error) {
    console.error((error as Error).message);
    process.exitCode = getExitCode(error);
  } finally {
    await platform.close();
  }
}
