#!/usr/bin/env node
import {Deployment} from '../deployment/deployment.js';
import {desatorosPlan} from '../deployment/deploymentPlan.js';

// Starts a deployment with one entry VM and prints commands to try on it. Stops
// the deployment on SIGINT or SIGTERM.
const plan = {
  ...desatorosPlan,
  availabilityZones: ['lima-1'],
  vmsPerZone: 1,
};
const deployment = await Deployment.start(plan);
const [vm] = deployment.vms;
console.log(`ryeworksd is running at ${vm.callerUrl}; stop it with Ctrl-C. Try:\n
curl -N ${vm.callerUrl}/v1/chat/completions \\
  -H 'Authorization: Bearer ${plan.customers[0].apiKey}' \\
  -H 'Idempotency-Key: any-text' -H 'Ryeworks-Attempt: 1' \\
  -d '{"model":"paperwork","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'

RYEWORKS_PLATFORM_URL=${deployment.platformUrl} npx ryeworks status`);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => {
    void deployment.stop().then(() => process.exit(0));
  });
}
