import {PlatformPort} from '@ryeworks/platform';
import {PlatformAnswerLostError, VersionConflictError} from '@ryeworks/types';
import {isDeepStrictEqual} from 'node:util';
import {describeChanges} from './describeChanges.js';

/** Reads that settle a write whose answer was lost. */
const readBackAttempts = 5;
/** Time between two such reads, in ms. */
const readBackDelayMs = 500;

/**
 * Finds out whether a write whose answer was lost took effect: by reading the
 * object back, never by writing again.
 */
async function resolveLostAnswer(
  platform: PlatformPort,
  name: string,
  content: object,
  baseVersion: number,
): Promise<number> {
  for (let attempt = 0; attempt < readBackAttempts; attempt++) {
    try {
      const present = await platform.getObject('config', name);
      const version = present?.version ?? 0;
      if (isDeepStrictEqual(present?.value, content)) return version;
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
 * Writes a document if it is still at the version that was edited; says what
 * changed if it is not. Returns the new version.
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
    const present = await platform.getObject('config', name);
    const changes = describeChanges(content, present?.value);
    throw new VersionConflictError(
      `${name} was changed by another operator: it is at version ` +
        `${present?.version ?? 0}, your edit began at ${baseVersion}. ` +
        `Nothing was written. Present against yours:\n  ` +
        changes.join('\n  '),
      {cause: error},
    );
  }
}
