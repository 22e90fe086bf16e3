import {mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t from 'tap';
import {createBoundedLineStream} from '../boundedLineStream.js';

t.test('lines beyond the rate are dropped and counted', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'ryeworks-lines-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'log');
  let nowMs = 0;
  const stream = createBoundedLineStream({
    fd: openSync(file, 'w'),
    linesPerSecond: 10,
    readNowMs: () => nowMs,
  });
  for (let index = 0; index < 50; index++) stream.write(`line ${index}\n`);
  nowMs = 1000;
  stream.write('later\n');
  await new Promise(resolve => setTimeout(resolve, 200));
  const lines = readFileSync(file, 'utf8').trimEnd().split('\n');
  t.equal(lines.length, 12);
  t.match(lines.at(-2), /event=log_lines_dropped count=40/);
  t.equal(lines.at(-1), 'later');
});
