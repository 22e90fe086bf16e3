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

/** Formats the position of an offset as `line:column`, both from 1. */
function formatPosition(text: string, offset: number): string {
  const before = text.slice(0, offset).split('\n');
  return `${before.length}:${before[before.length - 1].length + 1}`;
}

/** Finds the node at a path, or else its closest existing ancestor. */
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

/** Formats a schema error: its position, the key and the allowed values. */
function describeError(
  file: string,
  text: string,
  root: Node | undefined,
  error: ErrorObject,
): string {
  const path = error.instancePath.split('/').slice(1);
  const unknownKey = error.params['additionalProperty'] as string | undefined;
  const node = findNode(
    root,
    unknownKey === undefined ? path : [...path, unknownKey],
  );
  const position = formatPosition(text, node?.offset ?? 0);
  const key = [...path, ...(unknownKey === undefined ? [] : [unknownKey])].join(
    '.',
  );
  const subject = key === '' ? 'the document' : `"${key}"`;
  const allowed = error.params['allowedValues'] as unknown[] | undefined;
  const hint = allowed === undefined ? '' : `: ${allowed.join(', ')}`;
  const problem =
    unknownKey === undefined ? `${error.message}${hint}` : 'is not a known key';
  return `${file}:${position}: ${subject} ${problem}`;
}

/** Creates a validator from a JSON schema. */
export function createValidator<T>(schema: object): ValidateFunction<T> {
  const ajv = new Ajv({
    allErrors: true,
    useDefaults: true,
    allowUnionTypes: true,
  });
  return ajv.compile<T>(schema);
}

/**
 * Parses JSON with comments and validates it against a schema. An error message
 * contains the file, line, column, key and allowed values.
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
    const position = formatPosition(text, offset);
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
