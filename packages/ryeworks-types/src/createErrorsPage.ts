import {errorAnswers} from './errorKind.js';

/** Generates docs/errors.md from the table of error kinds. */
export function createErrorsPage(): string {
  const lines = [
    '# Errors',
    '',
    'Every refusal and failure has one of these kinds. `Ryeworks-Ran` states',
    'whether the request has run: `not-run` only if that is proved. An answer with',
    'a retry delay has `Retry-After` (in seconds) and `Retry-After-Ms`. A request',
    'that can no longer be served in time is refused at once.',
    '',
    '| kind | status | ran | retry delay | message |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const [kind, answer] of Object.entries(errorAnswers)) {
    const retryDelay = answer.retryAfter ? 'yes' : 'no';
    const cells = [`\`${kind}\``, answer.status, answer.ran, retryDelay];
    lines.push(`| ${[...cells, answer.message].join(' | ')} |`);
  }
  lines.push(
    '',
    'An aborted stream ends with `event: error` and a closed connection, never',
    'with `[DONE]`.',
    '',
  );
  return lines.join('\n');
}
