import {readFileSync} from 'node:fs';
import t from 'tap';
import {createErrorsPage} from '../createErrorsPage.js';
import {errorAnswers, runStatus} from '../errorKind.js';

t.test('docs/errors.md says what the table says', async t => {
  const page = new URL('../../../../docs/errors.md', import.meta.url);
  t.equal(readFileSync(page, 'utf8'), createErrorsPage());
});

t.test('every refusal for want of room says when to come back', async t => {
  for (const [kind, answer] of Object.entries(errorAnswers)) {
    const isTemporary = [429, 502, 503, 504].includes(answer.status);
    if (isTemporary) t.equal(answer.retryAfter, true, kind);
  }
});

t.test('only what may have run is not said to be not run', async t => {
  const unproved = Object.entries(errorAnswers)
    .filter(([, answer]) => answer.ran !== runStatus.notRun)
    .map(([kind]) => kind);
  t.strictSame(unproved, [
    'outcomeUnknown',
    'endpointTimeout',
    'endpointFailed',
    'callerGone',
    'internal',
  ]);
});
