import {listParsers} from '@ryeworks/config';
import {InvalidConfigError} from '@ryeworks/types';

/** Names of the lists that operators edit. VMs apply each list as a document. */
export type ListName = 'plans' | 'allowances';

/** The parsed content of a list file. */
export interface ListFile {
  /** Version of the list from which the file was created. */
  readonly baseVersion: number;
  readonly content: object;
}

/** The comment line that contains the version of the list. */
const versionLine = /^\/\/ version: (\d+)$/m;

/** Formats a list as a file that starts with the version of the list. */
export function formatListFile(version: number, content: unknown): string {
  return `// version: ${version}\n${JSON.stringify(content, null, 2)}\n`;
}

/**
 * Parses a list file. `expectedVersion`, if given, takes precedence over the
 * version in the file.
 */
export function parseListFile(
  name: ListName,
  file: string,
  text: string,
  expectedVersion?: number,
): ListFile {
  const content = listParsers[name](text, file);
  const match = versionLine.exec(text);
  const baseVersion = expectedVersion ?? (match && Number(match[1]));
  if (baseVersion === null) {
    throw new InvalidConfigError(
      `${file}: no line "// version: N" says which version was edited. ` +
        `Start from "ryeworks ${name} get", or give --expect-version.`,
    );
  }
  return {baseVersion, content};
}
