import {PlatformPort} from '@ryeworks/platform';
import {PlatformAnswerLostError} from '@ryeworks/types';
import t from 'tap';
import {applyList} from '../lists/applyList.js';

const baseVersion = 4;

/** Creates a platform that loses the answers to writes and does not do them. */
function createPlatform(readFailures: number): PlatformPort {
  let reads = 0;
  const platform: Partial<PlatformPort> = {
    putObject: async () => {
      throw new PlatformAnswerLostError('no answer');
    },
    getObject: async () => {
      reads += 1;
      if (reads > 5 - readFailures) throw new Error('unreachable');
      return {version: baseVersion, value: {}, name: 'moves'} as never;
    },
  };
  return platform as PlatformPort;
}

// Guards against an operator who is not told that nothing was written yet.
t.test('the message tells what the last read showed', async t => {
  const write = (readFailures: number) =>
    applyList(createPlatform(readFailures), 'moves', {moves: []}, baseVersion);
  await t.rejects(write(0), /moves is still at version 4/);
  await t.rejects(write(1), /not known whether moves was changed/);
});
