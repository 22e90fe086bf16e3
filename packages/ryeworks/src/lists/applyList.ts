import {PlatformPort} from '@ryeworks/platform';
import {PlatformAnswerLostError, VersionConflictError} from '@ryeworks/types';
import {isDeepStrictEqual} from 'node:util';
import {describeChanges} from './describeChanges.js';

/** Maximum number of reads that check a write whose answer was lost. */
const readBackAttempts = 5;
/** Interval between these reads, in ms. */
const readBackDelayMs = 500;

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
  for (let attempt = 0; attempt < readBackAttempts; attempt++) {
    try {
      const stored = await platform.getObject('config', name);
      const version = stored?.version ?? 0;
      if (isDeepStrictEqual(stored?.value, content)) return version;
      if (version !== baseVersion) {
        throw new VersionConflictError(
          `the answer was lost and ${name} now holds another change, ` +
            `version ${version}. Look at "ryeworks ${name} get".`,
        );
      }
      throw new PlatformAnswerLostError(
        `the answer was lost; ${name} is still at version ${baseVersion}. ` +
          'The change may yet arrive: look again before repeating it.',
      );
    } catch (error) {
      if (error instanceof VersionConflictError) throw error;
      await new Promise(resolve => setTimeout(resolve, readBackDelayMs));
    }
  }
  throw new PlatformAnswerLostError(
    `it is not known whether ${name} was changed. ` +
      `Look at "ryeworks ${name} get" once the platform answers.`,
  );
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
