import {RandomSource} from '@ryeworks/utils';
import {DeploymentPlan} from '../deployment/deploymentPlan.js';
import {CallLedger} from './callLedger.js';
import {EventQueue} from './eventQueue.js';
import {FakeEndpoint} from './fakeEndpoint.js';
import {FakeNetwork} from './fakeNetwork.js';
import {FakeVm} from './fakeVm.js';

/** The parts of a simulated deployment that its callers and calls use. */
export interface HarnessParts {
  readonly options: {readonly plan: DeploymentPlan};
  readonly random: RandomSource;
  readonly events: EventQueue;
  readonly network: FakeNetwork;
  readonly ledger: CallLedger;
  /** VMs by name. */
  readonly vms: ReadonlyMap<string, FakeVm>;
  /** Endpoints by id. */
  readonly endpoints: ReadonlyMap<string, FakeEndpoint>;
  /** Returns how often the endpoints have run an attempt with a key. */
  countRuns(key: string): number;
}
