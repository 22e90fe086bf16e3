import {execFile} from 'node:child_process';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {Deployment} from './deployment.js';

const resolveModule = createRequire(import.meta.url).resolve;

/** Path of the operators' command-line program. */
const ryeworksProgram = join(
  dirname(resolveModule('ryeworks')),
  'bin/ryeworks.js',
);

/** The exit code and output of a command. */
export interface CliResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command of the operators' command line against a deployment. */
export function runCli(
  deployment: Deployment,
  args: readonly string[],
): Promise<CliResult> {
  const env = {
    ...process.env,
    RYEWORKS_PLATFORM_URL: deployment.platformUrl,
  };
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [ryeworksProgram, ...args],
      {env},
      (_error, stdout, stderr) =>
        resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
    );
  });
}
