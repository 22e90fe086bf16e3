import {listParsers} from '@ryeworks/config';
import {InvalidConfigError} from '@ryeworks/types';

/** Lists that operators edit. */
export type ListName = 'plans' | 'allowances';

/** A list as it stands in a file. */
export interface ListFile {
  /** Version that the file was made from. */
  readonly baseVersion: number;
  readonly content: object;
}

const versionLine = /^\/\/ version: (\d+)$/m;

/** Formats a list as a file that says which version it was made from. */
export function formatListFile(version: number, content: unknown): string {
  return `// version: ${version}\n${JSON.stringify(content, null, 2)}\n`;
}

/** Parses a list file; a version given beside it goes before its own. */
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
