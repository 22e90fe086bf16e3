import {
  AllowancesList,
  PlansList,
  ServiceDefinition,
  Tier,
} from '@ryeworks/types';
import {createHash} from 'node:crypto';

/** A customer of a deployment with its API key and plan. */
export interface PlannedCustomer {
  readonly customer: string;
  readonly apiKey: string;
  readonly plan: string;
}

/** A kind of call that callers make. */
export interface CallKind {
  readonly name: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  /** Path of the call at a plain service; empty for calls to a model. */
  readonly path: string;
  readonly tier: Tier;
  /** Fraction of all calls that are of this kind, from 0 to 1. */
  readonly share: number;
  /** Minimum and maximum prompt length, in tokens; 0 for plain services. */
  readonly promptTokens: readonly [number, number];
  /** Minimum and maximum answer length, in tokens; 0 for plain services. */
  readonly outputTokens: readonly [number, number];
  readonly deadlineMs: number;
  /** Whether callers send an idempotency key. */
  readonly hasIdempotencyKey: boolean;
}

/** The zones, VMs, endpoints, customers and calls of a deployment. */
export interface DeploymentPlan {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly vmsPerZone: number;
  /** Hardware generations of the model engines in a zone, one per engine. */
  readonly enginesPerZone: readonly number[];
  readonly servicesPerZone: number;
  readonly modelService: ServiceDefinition;
  readonly plainService: ServiceDefinition;
  readonly customers: readonly PlannedCustomer[];
  readonly calls: readonly CallKind[];
}

/** Creates a model service with the latency targets of the capacity plan. */
function createModelService(service: string): ServiceDefinition {
  return {
    service,
    kind: 'model',
    routes: [
      {method: 'POST', path: '/v1/chat/completions', class: 'dispatchOnce'},
    ],
    defaultTier: 2,
    defaultDeadlineMs: 30_000,
    firstTokenTargetMs: 490,
    interTokenTargetMs: 36,
    initialConcurrency: 8,
  };
}

/** Creates a plain service whose writes may run at most once. */
function createPlainService(
  service: string,
  writePath: string,
  readPath: string,
): ServiceDefinition {
  return {
    service,
    kind: 'plain',
    routes: [
      {method: 'POST', path: writePath, class: 'nonIdempotent'},
      {method: 'GET', path: readPath, class: 'idempotent'},
    ],
    defaultTier: 2,
    defaultDeadlineMs: 5000,
    firstTokenTargetMs: 200,
    interTokenTargetMs: 0,
    initialConcurrency: 32,
  };
}

/**
 * Creates the customers of a deployment. The first two are on the large plan,
 * the others on the small one.
 */
function createCustomers(names: readonly string[]): PlannedCustomer[] {
  return names.map((customer, index) => ({
    customer,
    apiKey: `key-of-${customer}`,
    plan: index < 2 ? 'large' : 'small',
  }));
}

/** The deployment of the pollen service: four zones in one region. */
export const aerolithPlan: DeploymentPlan = {
  name: 'aerolith',
  availabilityZones: ['lowland-1', 'lowland-2', 'lowland-3', 'lowland-4'],
  vmsPerZone: 2,
  enginesPerZone: [1, 2],
  servicesPerZone: 1,
  modelService: createModelService('pollen-forecast'),
  plainService: createPlainService(
    'count-ledger',
    '/submissions',
    '/stations/*',
  ),
  customers: createCustomers([
    'clinics',
    'public-app',
    'nurses',
    'stations',
    'volunteers',
  ]),
  calls: [
    {
      name: 'clinic narrative',
      service: 'pollen-forecast',
      method: 'POST',
      path: '',
      tier: 1,
      share: 0.2,
      promptTokens: [100, 2000],
      outputTokens: [20, 80],
      deadlineMs: 8000,
      hasIdempotencyKey: true,
    },
    {
      name: 'station summary',
      service: 'pollen-forecast',
      method: 'POST',
      path: '',
      tier: 2,
      share: 0.3,
      promptTokens: [20, 400],
      outputTokens: [5, 40],
      deadlineMs: 12_000,
      hasIdempotencyKey: true,
    },
    {
      name: 'app alert',
      service: 'pollen-forecast',
      method: 'POST',
      path: '',
      tier: 3,
      share: 0.2,
      promptTokens: [20, 100],
      outputTokens: [5, 20],
      deadlineMs: 15_000,
      hasIdempotencyKey: false,
    },
    {
      name: 'sampler submission',
      service: 'count-ledger',
      method: 'POST',
      path: '/submissions',
      tier: 2,
      share: 0.1,
      promptTokens: [0, 0],
      outputTokens: [0, 0],
      deadlineMs: 5000,
      hasIdempotencyKey: true,
    },
    {
      name: 'station read',
      service: 'count-ledger',
      method: 'GET',
      path: '/stations/12',
      tier: 3,
      share: 0.2,
      promptTokens: [0, 0],
      outputTokens: [0, 0],
      deadlineMs: 3000,
      hasIdempotencyKey: false,
    },
  ],
};

/** The deployment of the drainage crews: three zones in Lima. */
export const desatorosPlan: DeploymentPlan = {
  name: 'desatoros',
  availabilityZones: ['lima-1', 'lima-2', 'lima-3'],
  vmsPerZone: 2,
  enginesPerZone: [1, 2],
  servicesPerZone: 1,
  modelService: createModelService('paperwork'),
  plainService: createPlainService('bookings', '/jobs', '/jobs/*'),
  customers: createCustomers([
    'crew-north',
    'crew-south',
    'office',
    'council',
    'tablets',
  ]),
  calls: [
    {
      name: 'crew summary',
      service: 'paperwork',
      method: 'POST',
      path: '',
      tier: 1,
      share: 0.25,
      promptTokens: [200, 2000],
      outputTokens: [20, 80],
      deadlineMs: 8000,
      hasIdempotencyKey: true,
    },
    {
      name: 'round report',
      service: 'paperwork',
      method: 'POST',
      path: '',
      tier: 2,
      share: 0.25,
      promptTokens: [50, 600],
      outputTokens: [10, 60],
      deadlineMs: 12_000,
      hasIdempotencyKey: true,
    },
    {
      name: 'drainage note',
      service: 'paperwork',
      method: 'POST',
      path: '',
      tier: 3,
      share: 0.15,
      promptTokens: [20, 100],
      outputTokens: [5, 20],
      deadlineMs: 15_000,
      hasIdempotencyKey: false,
    },
    {
      name: 'gully booking',
      service: 'bookings',
      method: 'POST',
      path: '/jobs',
      tier: 2,
      share: 0.15,
      promptTokens: [0, 0],
      outputTokens: [0, 0],
      deadlineMs: 5000,
      hasIdempotencyKey: true,
    },
    {
      name: 'job status',
      service: 'bookings',
      method: 'GET',
      path: '/jobs/7',
      tier: 3,
      share: 0.2,
      promptTokens: [0, 0],
      outputTokens: [0, 0],
      deadlineMs: 3000,
      hasIdempotencyKey: false,
    },
  ],
};

/** Creates the operators' list of plans and customers of a deployment. */
export function createPlansList(plan: DeploymentPlan): PlansList {
  return {
    plans: [
      {
        plan: 'large',
        limits: {
          requestsPerSecond: 2000,
          tokensPerSecond: 2_000_000,
          concurrency: 5000,
        },
      },
      {
        plan: 'small',
        limits: {
          requestsPerSecond: 1000,
          tokensPerSecond: 1_000_000,
          concurrency: 2000,
        },
      },
    ],
    customers: plan.customers.map(planned => ({
      customer: planned.customer,
      plan: planned.plan,
      keyHashes: [createHash('sha256').update(planned.apiKey).digest('hex')],
    })),
  };
}

/**
 * Creates the operators' list of allowances of a deployment, with the current
 * versions. Both plans may use all tiers of all services.
 */
export function createAllowancesList(plan: DeploymentPlan): AllowancesList {
  const allEndpoints = {service: '*', engines: ['*'], versions: ['*']};
  return {
    allowances: [
      {plan: 'large', ...allEndpoints, tiers: [1, 2, 3]},
      {plan: 'small', ...allEndpoints, tiers: [1, 2, 3]},
    ],
    currentVersions: {
      [plan.modelService.service]: 'v1',
      [plan.plainService.service]: 'v1',
    },
  };
}
