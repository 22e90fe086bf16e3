import {InvalidConfigError} from '@ryeworks/types';
import {Ajv, ErrorObject, ValidateFunction} from 'ajv';
import {
  findNodeAtLocation,
  Node,
  parse,
  ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';

/** Line and column of a place in a text, both from 1. */
function findPosition(text: string, offset: number): string {
  const before = text.slice(0, offset).split('\n');
  return `${before.length}:${before[before.length - 1].length + 1}`;
}

/** Finds the node that a schema error is about. */
function findNode(root: Node | undefined, path: string[]): Node | undefined {
  if (root === undefined) return undefined;
  for (let length = path.length; length >= 0; length--) {
    const segments = path
      .slice(0, length)
      .map(part => (/^\d+$/.test(part) ? Number(part) : part));
    const node = findNodeAtLocation(root, segments);
    if (node !== undefined) return node;
  }
  return root;
}

/** Says what is wrong, what is allowed and where. */
function describeError(
  file: string,
  text: string,
  root: Node | undefined,
  error: ErrorObject,
): string {
  const path = error.instancePath.split('/').slice(1);
  const extra = error.params['additionalProperty'] as string | undefined;
  const node = findNode(root, extra === undefined ? path : [...path, extra]);
  const position = findPosition(text, node?.offset ?? 0);
  const key = [...path, ...(extra === undefined ? [] : [extra])].join('.');
  const named = key === '' ? 'the document' : `"${key}"`;
  const allowed = error.params['allowedValues'] as unknown[] | undefined;
  const hint = allowed === undefined ? '' : `: ${allowed.join(', ')}`;
  const problem =
    extra === undefined ? `${error.message}${hint}` : 'is not a known key';
  return `${file}:${position}: ${named} ${problem}`;
}

/** Creates the validator of a schema. */
export function createValidator<T>(schema: object): ValidateFunction<T> {
  const ajv = new Ajv({
    allErrors: true,
    useDefaults: true,
    allowUnionTypes: true,
  });
  return ajv.compile<T>(schema);
}

/**
 * Parses JSON with comments and checks it against a schema. The error names
 * file, line, column, key and what is allowed.
 */
export function parseJsonc<T>(
  text: string,
  file: string,
  validate: ValidateFunction<T>,
): T {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    const [{error, offset}] = errors;
    const position = findPosition(text, offset);
    throw new InvalidConfigError(
      `${file}:${position}: ${printParseErrorCode(error)}`,
    );
  }
  if (validate(value)) return value;
  const root = parseTree(text, [], {allowTrailingComma: true});
  const problems = (validate.errors ?? []).map(error =>
    describeError(file, text, root, error),
  );
  throw new InvalidConfigError(problems.join('\n'));
}
