import {VersionMove} from '@ryeworks/types';
import {Command} from 'commander';
import {CommandContext, printResult, runCommand} from '../commandContext.js';
import {exitCodes} from '../exitCodes.js';
import {describeMove} from '../moves/describeMove.js';
import {parseDeadline} from '../moves/parseDeadline.js';
import {
  findMove,
  readMoves,
  startMove,
  withdrawMove,
} from '../moves/startMove.js';

/** Time between two looks at a move that is watched, in ms. */
const watchIntervalMs = 1000;

/** Options of `moves start`. */
interface StartCommandOptions {
  readonly service: string;
  readonly to: string;
  readonly deadline: string;
}

/** Prints one move. */
function showMove(context: CommandContext, move: VersionMove): void {
  printResult(context, move, describeMove(move));
}

/** Prints a move whenever it changes, until it has ended. */
async function watchMove(context: CommandContext, name: string): Promise<void> {
  let shown = '';
  for (;;) {
    const {moves} = await readMoves(context.platform);
    const move = findMove(moves, name);
    const text = describeMove(move);
    if (text !== shown) showMove(context, move);
    shown = text;
    if (move.phase === 'done') return;
    if (move.phase === 'withdrawn') {
      process.exitCode = exitCodes.failed;
      return;
    }
    await new Promise(resolve => setTimeout(resolve, watchIntervalMs));
  }
}

/** Adds the commands that read moves. */
function addReadCommands(command: Command): void {
  command
    .command('list')
    .description('list all moves')
    .action((_options, self: Command) =>
      runCommand(self, async context => {
        const {moves} = await readMoves(context.platform);
        const lines = moves.map(describeMove).join('\n') || 'no moves';
        printResult(context, moves, lines);
      }),
    );
  command
    .command('show <move>')
    .description('show one move and its evidence')
    .action((name: string, _options, self: Command) =>
      runCommand(self, async context => {
        const {moves} = await readMoves(context.platform);
        showMove(context, findMove(moves, name));
      }),
    );
  command
    .command('watch <move>')
    .description('follow a move; exit code 1 when it is taken back')
    .action((name: string, _options, self: Command) =>
      runCommand(self, context => watchMove(context, name)),
    );
}

/** Creates the commands of version moves. */
export function createMovesCommand(): Command {
  const command = new Command('moves').description(
    'move traffic to a new version by a deadline, or take it back',
  );
  command
    .command('start')
    .description('move a service to a version')
    .requiredOption('--service <name>', 'service or model')
    .requiredOption('--to <version>', 'new version')
    .requiredOption('--deadline <time>', '+20m, +2h or 2030-01-31T06:00Z')
    .addHelpText(
      'after',
      '\nExample:\n  ryeworks moves start --service paperwork --to v2 ' +
        '--deadline +2h',
    )
    .action((options: StartCommandOptions, self: Command) =>
      runCommand(self, async context => {
        const {platform, wallClockMs} = context;
        const deadlineAtMs = parseDeadline(options.deadline, wallClockMs);
        const {service, to: toVersion} = options;
        const order = {service, toVersion, deadlineAtMs, wallClockMs};
        showMove(context, await startMove(platform, order));
      }),
    );
  addReadCommands(command);
  command
    .command('withdraw <move>')
    .description('take a move back: no new request goes to the new version')
    .action((name: string, _options, self: Command) =>
      runCommand(self, async context => {
        const {platform, wallClockMs} = context;
        showMove(context, await withdrawMove(platform, name, wallClockMs));
      }),
    );
  return command;
}
