import {CallResult} from '../load/makeCall.js';

/** Lists what the callers and the endpoints' ledgers show to be broken. */
export function findBrokenPromises(
  results: readonly CallResult[],
  runs: ReadonlyMap<string, number>,
): string[] {
  const brokenPromises: string[] = [];
  const countRuns = (key: string) =>
    (runs.get(`key:${key}`) ?? 0) + (runs.get(key) ?? 0);
  const keys = new Set(results.map(one => one.call.key).filter(Boolean));
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
      brokenPromises.push(`${call.kind.name}: a crossed answer`);
    if (ran === 'not-run' && call.key !== '' && countRuns(call.key) > 0) {
      brokenPromises.push(`${call.kind.name}: "not run" for a call that ran`);
    }
    const isSilentlyTruncated = status === 200 && !isComplete && error === '';
    if (isSilentlyTruncated)
      brokenPromises.push(`${call.kind.name}: closed as whole, cut`);
  }
  return brokenPromises;
}
