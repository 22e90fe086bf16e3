import {CallResult} from '../load/makeCall.js';

/**
 * Describes the promises to callers that were broken, judged by the results of
 * the calls and the runs that the endpoints counted. A call with an idempotency
 * key must not run twice, an answer must not contain content of another request,
 * a call that ran must not be reported as `not-run`, and an incomplete answer
 * must not look like a complete one.
 */
export function findBrokenPromises(
  results: readonly CallResult[],
  runs: ReadonlyMap<string, number>,
): string[] {
  const brokenPromises: string[] = [];
  const countRuns = (key: string) =>
    (runs.get(`key:${key}`) ?? 0) + (runs.get(key) ?? 0);
  const keys = new Set(results.map(result => result.call.key).filter(Boolean));
  for (const key of keys) {
    const count = countRuns(key);
    if (count > 1) brokenPromises.push(`key ${key} ran ${count} times`);
  }
  for (const {
    call,
    hasForeignContent,
    ran,
    isComplete,
    error,
    status,
  } of results) {
    if (hasForeignContent)
      brokenPromises.push(
        `${call.kind.name}: answer has content of another request`,
      );
    if (ran === 'not-run' && call.key !== '' && countRuns(call.key) > 0) {
      brokenPromises.push(`${call.kind.name}: "not-run" for a call that ran`);
    }
    const isSilentlyTruncated = status === 200 && !isComplete && error === '';
    if (isSilentlyTruncated)
      brokenPromises.push(
        `${call.kind.name}: incomplete answer ended as if complete`,
      );
  }
  return brokenPromises;
}
