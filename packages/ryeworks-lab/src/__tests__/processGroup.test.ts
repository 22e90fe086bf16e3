import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {ProcessGroup} from '../deployment/processGroup.js';

/** Time in which an answer about an ended process must come, in ms. */
const answerMs = 1000;

// Guards against a test that waits for ever for a process that was killed before.
t.test('waiting for a process that has ended', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'ryeworks-group-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  const group = new ProcessGroup(folder);
  t.teardown(() => group.killAll());
  group.start('p', '-e', ['setInterval(() => {}, 1000)']);
  const isKilled = group.waitForExit('p');
  group.signal('p', 'SIGKILL');
  t.equal(await isKilled, null);
  const late = sleep(answerMs, 'late', {ref: true});
  t.equal(await Promise.race([group.waitForExit('p'), late]), null);
});
