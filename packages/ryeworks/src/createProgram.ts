import {Command, Option} from 'commander';
import {createListCommand} from './commands/lists.js';
import {createMovesCommand} from './commands/moves.js';
import {createStatusCommand} from './commands/status.js';

/** Creates the command-line program for operators. */
export function createProgram(): Command {
  const program = new Command('ryeworks')
    .description('Command line of the operators of ryeworks.')
    .addOption(
      new Option('--platform-url <url>', "the platform's object API")
        .env('RYEWORKS_PLATFORM_URL')
        .makeOptionMandatory(),
    )
    .addOption(
      new Option('--platform-token <token>', 'token of the object API')
        .env('RYEWORKS_PLATFORM_TOKEN')
        .default(''),
    )
    .option('--json', 'print JSON for programs', false)
    .addHelpText(
      'after',
      '\nExit codes:\n' +
        '  0 done   1 failed   3 invalid content   4 changed by another\n' +
        '  5 platform unreachable, nothing written   6 outcome unknown',
    );
  program.addCommand(
    createListCommand('plans', "the customers' plans: who is on which plan"),
  );
  program.addCommand(createListCommand('allowances', 'what each plan may use'));
  program.addCommand(createMovesCommand());
  program.addCommand(createStatusCommand());
  return program;
}
