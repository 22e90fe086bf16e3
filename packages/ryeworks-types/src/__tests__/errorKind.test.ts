import {readFileSync} from 'node:fs';
import t from 'tap';
import {createErrorsPage} from '../createErrorsPage.js';
import {errorAnswers, runStatus} from '../errorKind.js';

t.test('docs/errors.md matches the table of error kinds', async t => {
  const page = new URL('../../../../docs/errors.md', import.meta.url);
  t.equal(readFileSync(page, 'utf8'), createErrorsPage());
});

t.test('every error with 429, 502, 503 or 504 has Retry-After', async t => {
  for (const [kind, answer] of Object.entries(errorAnswers)) {
    const isTemporary = [429, 502, 503, 504].includes(answer.status);
    if (isTemporary) t.equal(answer.retryAfter, true, kind);
  }
});

t.test('only these errors mean that the request may have run', async t => {
  const kindsThatMayHaveRun = Object.entries(errorAnswers)
    .filter(([, answer]) => answer.ran !== runStatus.notRun)
    .map(([kind]) => kind);
  t.strictSame(kindsThatMayHaveRun, [
    'outcomeUnknown',
    'endpointTimeout',
    'endpointFailed',
    'callerGone',
    'internal',
  ]);
});
