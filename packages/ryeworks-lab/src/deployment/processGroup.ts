import {ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {request} from 'undici';

/** Time within which a process must answer its first request, in ms. */
const startTimeoutMs = 20_000;
/** Time between two checks whether a process is ready, in ms. */
const pollIntervalMs = 50;

/** A process that this program started. */
export interface ManagedProcess {
  readonly name: string;
  readonly child: ChildProcess;
}

/** Returns whether a process has ended, by itself or by a signal. */
function hasExited({exitCode, signalCode}: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

/** Starts processes and kills only those, by process ID. */
export class ProcessGroup {
  private readonly processes = new Map<string, ManagedProcess>();

  constructor(private readonly logDirectory: string) {}

  /** Starts a Node.js program and appends its output to a log file. */
  start(
    name: string,
    program: string,
    args: readonly string[],
    nodeArgs: readonly string[] = [],
  ): ManagedProcess {
    const child = spawn(process.execPath, [...nodeArgs, program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(`${this.logDirectory}/${name}.log`, {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    const managed = {name, child};
    this.processes.set(name, managed);
    return managed;
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.processes.get(name)?.child.kill(signal);
  }

  /** Returns the process ID of a process; 0 if it was not started. */
  getPid(name: string): number {
    return this.processes.get(name)?.child.pid ?? 0;
  }

  /**
   * Waits for a process to exit. Returns its exit code, or null if it was not
   * started or was killed by a signal.
   */
  async waitForExit(name: string): Promise<number | null> {
    const child = this.processes.get(name)?.child;
    if (child === undefined) return null;
    if (hasExited(child)) return child.exitCode;
    return new Promise(resolve => child.once('exit', code => resolve(code)));
  }

  /** Kills every process that is still running, paused ones included. */
  async killAll(): Promise<void> {
    const exits: Promise<unknown>[] = [];
    for (const {child} of this.processes.values()) {
      if (hasExited(child)) continue;
      exits.push(new Promise(resolve => child.once('exit', resolve)));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(exits);
    this.processes.clear();
  }
}

/** Waits until a URL answers with a status below 500. */
export async function waitUntilReady(url: string): Promise<void> {
  const attempts = startTimeoutMs / pollIntervalMs;
  for (let attempt = 0; attempt < attempts; attempt++) {
    try {
      const response = await request(url, {signal: AbortSignal.timeout(1000)});
      await response.body.dump();
      if (response.statusCode < 500) return;
    } catch {
      // The process is not listening yet.
    }
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
  throw new Error(`${url} was not ready within ${startTimeoutMs} ms`);
}
