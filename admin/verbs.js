import {readFileSync} from 'node:fs';

/** Returns the verbs listed in docs/style.md for names of functions. */
export function readVerbs() {
  const page = readFileSync(
    new URL('../docs/style.md', import.meta.url),
    'utf8',
  );
  return [...page.matchAll(/^\| `([a-z]+)` +\|/gm)].map(match => match[1]);
}
