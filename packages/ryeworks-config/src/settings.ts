import {InvalidConfigError, ServiceDefinition} from '@ryeworks/types';
import {createValidator, parseJsonc} from './parseJsonc.js';

/** An address to listen on. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  /** TCP port, 0 to 65535. */
  readonly port: number;
}

/** Settings of one `ryeworksd` process. */
export interface Settings {
  /** Name of this VM. */
  readonly vm: string;
  /** Availability zone of this VM. */
  readonly availabilityZone: string;
  /** Every availability zone of the deployment. */
  readonly availabilityZones: readonly string[];
  /**
   * `host:port` of some VMs of the deployment, contacted if the platform's list
   * of VMs is unavailable at startup. Default: none.
   */
  readonly seedPeers: readonly string[];
  /** Address that callers and the load balancer connect to. */
  readonly callerListen: ListenAddress;
  /** Address that the other VMs connect to. */
  readonly peerListen: ListenAddress;
  /** Secret shared by the VMs of the deployment. */
  readonly peerKey: string;
  /** Secret that grants access to the operators' status page. */
  readonly operatorKey: string;
  readonly platform: {
    /** Base URL of the object API. */
    readonly url: string;
    /** Bearer token of the object API. */
    readonly token: string;
  };
  /** StatsD address. If undefined, no metrics are sent. */
  readonly statsd?: ListenAddress;
  /** Minimum level that is logged. Default: `info`. */
  readonly logLevel: 'info' | 'warn' | 'error';
  /** Maximum size of a request body, in bytes. Default: 1 MiB. */
  readonly maxBodyBytes: number;
  /** Size of the answer cache for caller retries, in bytes. Default: 32 MiB. */
  readonly answerCacheBytes: number;
  /** Maximum time for a graceful stop, in ms. Default: 60 s. */
  readonly stopTimeoutMs: number;
  /** Overrides of the scheduler's default options. */
  readonly scheduler: Readonly<Record<string, number | string>>;
  readonly services: readonly ServiceDefinition[];
}

const name = {type: 'string', pattern: '^[A-Za-z0-9._:-]{1,100}$'};
const positive = {type: 'number', exclusiveMinimum: 0};

const listenAddressSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['host', 'port'],
  properties: {
    host: {type: 'string', minLength: 1},
    port: {type: 'integer', minimum: 0, maximum: 65535},
  },
};

const serviceSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['service', 'kind', 'routes'],
  properties: {
    service: name,
    kind: {enum: ['model', 'plain']},
    routes: {
      type: 'array',
      minItems: 1,
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['method', 'path', 'class'],
        properties: {
          method: {enum: ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']},
          path: {type: 'string', pattern: '^/'},
          class: {enum: ['idempotent', 'dispatchOnce', 'nonIdempotent']},
        },
      },
    },
    defaultTier: {enum: [1, 2, 3], default: 2},
    defaultDeadlineMs: {...positive, default: 30_000},
    firstTokenTargetMs: {...positive, default: 490},
    interTokenTargetMs: {type: 'number', minimum: 0, default: 36},
    initialConcurrency: {type: 'integer', minimum: 1, default: 8},
  },
};

const schedulerSchema = {
  type: 'object',
  additionalProperties: false,
  default: {},
  properties: {
    routing: {enum: ['grants', 'leastLoadedOfTwo']},
    probePeriodMs: positive,
    probeTimeoutMs: positive,
    suspicionMs: positive,
    askTimeoutMs: positive,
    cellMaxEndpoints: {type: 'integer', minimum: 1},
    cellMaxQueued: {type: 'integer', minimum: 1},
    claimWindowMs: positive,
    claimTimeoutMs: positive,
    retryBudgetRatio: {type: 'number', minimum: 0, maximum: 1},
    progressTimeoutMs: positive,
    observeMs: positive,
  },
};

const validateSettings = createValidator<Settings>({
  type: 'object',
  additionalProperties: false,
  required: [
    'vm',
    'availabilityZone',
    'availabilityZones',
    'callerListen',
    'peerListen',
    'peerKey',
    'operatorKey',
    'platform',
    'services',
  ],
  properties: {
    vm: name,
    availabilityZone: name,
    availabilityZones: {
      type: 'array',
      items: name,
      minItems: 1,
      uniqueItems: true,
    },
    seedPeers: {
      type: 'array',
      items: {type: 'string', pattern: '^[^:]+:[0-9]+$'},
      default: [],
    },
    callerListen: listenAddressSchema,
    peerListen: listenAddressSchema,
    peerKey: {type: 'string', minLength: 8},
    operatorKey: {type: 'string', minLength: 8},
    platform: {
      type: 'object',
      additionalProperties: false,
      required: ['url', 'token'],
      properties: {
        url: {type: 'string', pattern: '^https?://'},
        token: {type: 'string'},
      },
    },
    statsd: listenAddressSchema,
    logLevel: {enum: ['info', 'warn', 'error'], default: 'info'},
    maxBodyBytes: {type: 'integer', minimum: 1, default: 1_048_576},
    answerCacheBytes: {type: 'integer', minimum: 0, default: 33_554_432},
    stopTimeoutMs: {...positive, default: 60_000},
    scheduler: schedulerSchema,
    services: {type: 'array', minItems: 1, items: serviceSchema},
  },
});

/** Parses the settings of `ryeworksd` and fills in the defaults. */
export function parseSettings(text: string, file: string): Settings {
  const settings = parseJsonc(text, file, validateSettings);
  const {availabilityZone, availabilityZones} = settings;
  if (!availabilityZones.includes(availabilityZone)) {
    throw new InvalidConfigError(
      `${file}: "availabilityZone" is "${availabilityZone}", which ` +
        `"availabilityZones" does not list: ${availabilityZones.join(', ')}`,
    );
  }
  return settings;
}
