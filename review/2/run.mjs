// The part that crashes workers stands behind many parts of a long session.
import {playCase} from '../lib/crashingPart.mjs';

/** Parts of a session before the crashing one: its earlier turns. */
const turns = 36;

process.exit(
  await playCase({
    hasTrouble: process.env.TROUBLE !== '0',
    recordFile: new URL('record.txt', import.meta.url),
    groupSize: 1,
    groupPeriodMs: Number(process.env.PERIOD_MS ?? 900),
    groups: 24,
    createSoundParts: () =>
      Array.from({length: turns}, (_, turn) => `7a${turn + 100}`),
  }),
);
