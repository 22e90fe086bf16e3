import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

/** Log line of a request that a VM answered with an error. */
const failurePattern = /event=request_failed .*?error=(\w+) reason=(\w+)/;

/**
 * Counts the requests that VMs answered with an error, by error and reason, from
 * the logs in a folder. Explains a check of callers' answers that failed.
 */
export async function countFailureReasons(
  logDirectory: string,
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const name of await readdir(logDirectory)) {
    const text = await readFile(join(logDirectory, name), 'utf8');
    for (const line of text.split('\n')) {
      const [, error, reason] = failurePattern.exec(line) ?? [];
      if (error === undefined) continue;
      const key = `${error} ${reason}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
  }
  return counts;
}
