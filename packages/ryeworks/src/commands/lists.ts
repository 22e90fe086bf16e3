import {InvalidConfigError} from '@ryeworks/types';
import {spawnSync} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Command} from 'commander';
import {CommandContext, printResult, runCommand} from '../commandContext.js';
import {applyList} from '../lists/applyList.js';
import {describeChanges} from '../lists/describeChanges.js';
import {formatListFile, ListName, parseListFile} from '../lists/listFile.js';

/** Reads a list and its version. A missing list is empty and has version 0. */
async function readList(
  {platform}: CommandContext,
  name: ListName,
): Promise<{version: number; value: unknown}> {
  const object = await platform.getObject('config', name);
  return {version: object?.version ?? 0, value: object?.value ?? {}};
}

/** Prints a list in the format of a file that can be edited and applied. */
async function showList(
  context: CommandContext,
  name: ListName,
): Promise<void> {
  const {version, value} = await readList(context, name);
  printResult(context, {version, value}, formatListFile(version, value));
}

/**
 * Validates a list file and writes its content to the platform, unless the list
 * changed after the version that was edited.
 */
async function applyFile(
  context: CommandContext,
  name: ListName,
  file: string,
  expectedVersion?: number,
): Promise<void> {
  const text = await readFile(file, 'utf8');
  const parsed = parseListFile(name, file, text, expectedVersion);
  const {baseVersion, content} = parsed;
  const {platform} = context;
  const version = await applyList(platform, name, content, baseVersion);
  printResult(context, {name, version}, `${name} is now version ${version}`);
}

/** Opens a list in the operator's editor and applies the edited file. */
async function editList(
  context: CommandContext,
  name: ListName,
): Promise<void> {
  const original = await readList(context, name);
  const directory = await mkdtemp(join(tmpdir(), 'ryeworks-edit-'));
  const file = join(directory, `${name}.jsonc`);
  await writeFile(file, formatListFile(original.version, original.value));
  const editor = process.env['EDITOR'] ?? 'vi';
  const editorResult = spawnSync(editor, [file], {
    stdio: 'inherit',
    shell: true,
  });
  if (editorResult.status !== 0) {
    throw new InvalidConfigError(`${editor} failed; your edit is in ${file}`);
  }
  const text = await readFile(file, 'utf8');
  const {content} = parseListFile(name, file, text);
  if (describeChanges(original.value, content).length === 0) {
    console.log('nothing changed');
  } else {
    await applyFile(context, name, file);
  }
  await rm(directory, {recursive: true});
}

/** Creates the command with the subcommands for one list. */
export function createListCommand(
  name: ListName,
  description: string,
): Command {
  const command = new Command(name).description(description);
  command
    .command('get')
    .description('print the list with its version')
    .action((_options, self: Command) =>
      runCommand(self, context => showList(context, name)),
    );
  command
    .command('check <file>')
    .description('check a file without writing it')
    .action((file: string, _options, self: Command) =>
      runCommand(self, async context => {
        const text = await readFile(file, 'utf8');
        parseListFile(name, file, text, 0);
        printResult(context, {file, valid: true}, `${file}: ok`);
      }),
    );
  command
    .command('apply <file>')
    .description('check a file and put it in force')
    .option('--expect-version <number>', 'version that was edited', Number)
    .addHelpText(
      'after',
      `\nExample:\n  ryeworks ${name} get > ${name}.jsonc\n` +
        `  $EDITOR ${name}.jsonc\n  ryeworks ${name} apply ${name}.jsonc`,
    )
    .action((file: string, options: {expectVersion?: number}, self: Command) =>
      runCommand(self, context =>
        applyFile(context, name, file, options.expectVersion),
      ),
    );
  command
    .command('edit')
    .description('edit the list in $EDITOR and put it in force')
    .action((_options, self: Command) =>
      runCommand(self, context => editList(context, name)),
    );
  return command;
}
