import {spawnSync} from 'node:child_process';
import {mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t from 'tap';
import {createBoundedLineStream} from '../boundedLineStream.js';

t.test('lines beyond the rate limit are dropped and counted', async t => {
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

t.test('buffered lines are not lost when the process exits', async t => {
  const module = new URL('../boundedLineStream.js', import.meta.url).href;
  const program = `
    import {createBoundedLineStream} from '${module}';
    const options = {fd: 1, linesPerSecond: 100, readNowMs: () => 0};
    const stream = createBoundedLineStream(options);
    for (let index = 0; index < 5; index++) stream.write('line ' + index + '\\n');
    setTimeout(() => {
      stream.write('last\\n');
      process.exit(0);
    }, 120);`;
  const args = ['--input-type=module', '-e', program];
  const {stdout} = spawnSync(process.execPath, args, {encoding: 'utf8'});
  const lines = stdout.trimEnd().split('\n');
  t.strictSame(
    lines,
    [0, 1, 2, 3, 4].map(index => `line ${index}`).concat('last'),
  );
});
