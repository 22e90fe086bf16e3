import {ZoneStatus} from '@ryeworks/types';
import Table from 'cli-table3';
import {Command} from 'commander';
import {CommandContext, printResult, runCommand} from '../commandContext.js';

/** Documents whose versions the status table shows. */
const shownDocuments = ['plans', 'allowances', 'moves'] as const;

/** Formats the status of all zones as a table. */
function formatStatus(
  zones: readonly ZoneStatus[],
  versions: ReadonlyMap<string, number>,
  wallClockMs: number,
): string {
  const table = new Table({
    head: ['zone', 'vm', 'state', ...shownDocuments, 'reported'],
    style: {head: [], border: [], compact: true},
  });
  for (const zone of zones) {
    const age = `${Math.round((wallClockMs - zone.atMs) / 1000)} s ago`;
    for (const vm of zone.vms) {
      const cells = shownDocuments.map(name => {
        const version = vm.documents[name] ?? 0;
        const latest = versions.get(name) ?? 0;
        return version >= latest ? `${version}` : `${version} (lags ${latest})`;
      });
      const {availabilityZone} = zone;
      table.push([availabilityZone, vm.vm, vm.status, ...cells, age]);
    }
  }
  return table.toString();
}

/** Prints which version of each document every VM has applied, by zone. */
async function showStatus(context: CommandContext): Promise<void> {
  const {platform, wallClockMs} = context;
  const [config, status] = await Promise.all([
    platform.listObjects('config'),
    platform.listObjects('status'),
  ]);
  const versions = new Map(config.items.map(item => [item.name, item.version]));
  const zones = status.items.map(item => item.value as ZoneStatus);
  const text = formatStatus(zones, versions, wallClockMs);
  const value = {versions: Object.fromEntries(versions), zones};
  printResult(context, value, text);
}

/** Creates the command `status`. */
export function createStatusCommand(): Command {
  return new Command('status')
    .description('show which version of each list is in force on which VM')
    .action((_options, self: Command) => runCommand(self, showStatus));
}
