import {readFileSync} from 'node:fs';

/** Reads the verbs that function names may begin with from docs/style.md. */
export function readVerbs() {
  const page = readFileSync(
    new URL('../docs/style.md', import.meta.url),
    'utf8',
  );
  return [...page.matchAll(/^\| `([a-z]+)` +\|/gm)].map(match => match[1]);
}
