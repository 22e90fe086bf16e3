import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

/**
 * Reads the log lines of all VMs in a folder, ordered by time. Shows how the
 * requests of a failed check went through the VMs.
 */
export async function readLogLines(logDirectory: string): Promise<string[]> {
  const lines: string[] = [];
  for (const name of await readdir(logDirectory)) {
    const text = await readFile(join(logDirectory, name), 'utf8');
    lines.push(...text.split('\n').filter(line => line.startsWith('time=')));
  }
  return lines.sort();
}
