#!/usr/bin/env node
import {Deployment} from '../deployment/deployment.js';
import {
  aerolithPlan,
  DeploymentPlan,
  desatorosPlan,
} from '../deployment/deploymentPlan.js';
import {runLoad} from '../load/runLoad.js';
import {findBrokenPromises} from '../report/findBrokenPromises.js';
import {createTable, TableCell} from '../report/createTable.js';
import {countErrors, createCallTable} from '../report/summarizeCalls.js';

/** Mean rate and duration of the load. */
const callsPerSecond = 60;
const durationMs = 8000;
const seed = 20;

/** Sums each counter over all VMs, by name and tags. */
async function sumCounters(
  deployment: Deployment,
): Promise<Map<string, number>> {
  const sums = new Map<string, number>();
  for (const vm of deployment.vms) {
    const {counters} = await deployment.readStatus(vm);
    for (const [name, value] of Object.entries(counters)) {
      sums.set(name, (sums.get(name) ?? 0) + value);
    }
  }
  return sums;
}

/**
 * Prints the counters of requests, admission, claims, prefill, grants and grant
 * requests.
 */
function printCounters(counters: ReadonlyMap<string, number>): void {
  const rows: TableCell[][] = [];
  const shownNames = /^(request|admission|claim|prefill|grant|ask)\./;
  for (const [name, value] of [...counters].sort()) {
    if (shownNames.test(name)) rows.push([name, value]);
  }
  console.log(createTable(['counter', 'sum over VMs'], rows));
}

/** Runs the load on one deployment. Returns the broken promises. */
async function runDeployment(plan: DeploymentPlan): Promise<string[]> {
  console.log(
    `\n${plan.name}: ${plan.availabilityZones.length} availability zones, ` +
      `${callsPerSecond} calls/s for ${durationMs / 1000} s, seed ${seed}`,
  );
  const deployment = await Deployment.start(plan);
  try {
    const urls = deployment.vms.map(vm => vm.callerUrl);
    const results = await runLoad({
      plan,
      listUrls: () => urls,
      callsPerSecond,
      durationMs,
      seed,
    });
    console.log(createCallTable(results));
    console.log('refused or failed:', countErrors(results));
    printCounters(await sumCounters(deployment));
    return findBrokenPromises(results, await deployment.readRuns());
  } finally {
    await deployment.stop();
  }
}

const brokenPromises: string[] = [];
for (const plan of [aerolithPlan, desatorosPlan]) {
  brokenPromises.push(...(await runDeployment(plan)));
}
for (const text of brokenPromises) console.error(`broken promise: ${text}`);
console.log(`\n${brokenPromises.length} promises broken`);
process.exitCode = brokenPromises.length === 0 ? 0 : 1;
