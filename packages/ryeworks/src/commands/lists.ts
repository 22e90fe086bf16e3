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

/** Reads a list; an absent one is version 0. */
async function readList(
  {platform}: CommandContext,
  name: ListName,
): Promise<{version: number; value: unknown}> {
  const found = await platform.getObject('config', name);
  return {version: found?.version ?? 0, value: found?.value ?? {}};
}

/** Prints a list as a file that can be edited and applied. */
async function showList(
  context: CommandContext,
  name: ListName,
): Promise<void> {
  const {version, value} = await readList(context, name);
  printResult(context, {version, value}, formatListFile(version, value));
}

/** Checks a file and writes it when it is still current. */
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

/** Opens the list in the operator's editor and applies the result. */
async function editList(
  context: CommandContext,
  name: ListName,
): Promise<void> {
  const before = await readList(context, name);
  const directory = await mkdtemp(join(tmpdir(), 'ryeworks-edit-'));
  const file = join(directory, `${name}.jsonc`);
  await writeFile(file, formatListFile(before.version, before.value));
  const editor = process.env['EDITOR'] ?? 'vi';
  const run = spawnSync(editor, [file], {stdio: 'inherit', shell: true});
  if (run.status !== 0) {
    throw new InvalidConfigError(`${editor} failed; your edit is in ${file}`);
  }
  const text = await readFile(file, 'utf8');
  const {content} = parseListFile(name, file, text);
  if (describeChanges(before.value, content).length === 0) {
    console.log('nothing changed');
  } else {
    await applyFile(context, name, file);
  }
  await rm(directory, {recursive: true});
}

/** Creates the commands of one list. */
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
