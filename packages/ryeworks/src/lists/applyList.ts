import {PlatformObject, PlatformPort} from '@ryeworks/platform';
import {PlatformAnswerLostError, VersionConflictError} from '@ryeworks/types';
import {setTimeout as sleep} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {describeChanges} from './describeChanges.js';

/** Maximum number of reads that check a write whose answer was lost. */
const readBackAttempts = 5;
/** Interval between these reads, in ms. */
const readBackDelayMs = 500;

/** What a document holds; the version is 0 if it does not exist. */
type StoredDocument = Pick<PlatformObject, 'value' | 'version'>;

/** Reads a document; returns undefined if the platform does not answer. */
async function readStored(
  platform: PlatformPort,
  name: string,
): Promise<StoredDocument | undefined> {
  try {
    const stored = await platform.getObject('config', name);
    return stored ?? {value: undefined, version: 0};
  } catch {
    return undefined;
  }
}

/** Creates the error for a document that could not be read back. */
function createUnknownError(name: string): Error {
  return new PlatformAnswerLostError(
    `it is not known whether ${name} was changed. ` +
      `Look at "ryeworks ${name} get" once the platform answers.`,
  );
}

/**
 * Determines whether a write whose answer was lost took effect, by reading the
 * document back and never by writing it again. Returns the new version if the
 * write took effect, and throws if it did not or if that remains unknown.
 */
async function resolveLostAnswer(
  platform: PlatformPort,
  name: string,
  content: object,
  baseVersion: number,
): Promise<number> {
  let error = createUnknownError(name);
  for (let attempt = 0; attempt < readBackAttempts; attempt++) {
    if (attempt > 0) await sleep(readBackDelayMs);
    const stored = await readStored(platform, name);
    if (stored === undefined) {
      error = createUnknownError(name);
      continue;
    }
    const {value, version} = stored;
    if (isDeepStrictEqual(value, content)) return version;
    if (version !== baseVersion) {
      throw new VersionConflictError(
        `the answer was lost and ${name} now holds another change, ` +
          `version ${version}. Look at "ryeworks ${name} get".`,
      );
    }
    error = new PlatformAnswerLostError(
      `the answer was lost; ${name} is still at version ${baseVersion}. ` +
        'The change may yet arrive: look again before repeating it.',
    );
  }
  throw error;
}

/**
 * Writes a document if it is still at the version that was edited, and returns
 * its new version. If it has changed since, throws an error that lists the
 * differences.
 */
export async function applyList(
  platform: PlatformPort,
  name: string,
  content: object,
  baseVersion: number,
): Promise<number> {
  try {
    return await platform.putObject('config', name, content, baseVersion);
  } catch (error) {
    if (error instanceof PlatformAnswerLostError) {
      return resolveLostAnswer(platform, name, content, baseVersion);
    }
    if (!(error instanceof VersionConflictError)) throw error;
    const stored = await platform.getObject('config', name);
    const changes = describeChanges(content, stored?.value);
    throw new VersionConflictError(
      `${name} was changed by another operator: it is at version ` +
        `${stored?.version ?? 0}, your edit began at ${baseVersion}. ` +
        `Nothing was written. Present against yours:\n  ` +
        changes.join('\n  '),
      {cause: error},
    );
  }
}
