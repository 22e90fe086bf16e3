import {
  AllowancesList,
  InvalidConfigError,
  MovesList,
  PlansList,
} from '@ryeworks/types';
import {createValidator, parseJsonc} from './parseJsonc.js';

const name = {type: 'string', pattern: '^[A-Za-z0-9._:-]{1,100}$'};
const positive = {type: 'number', exclusiveMinimum: 0};

const validatePlansList = createValidator<PlansList>({
  type: 'object',
  additionalProperties: false,
  required: ['plans', 'customers'],
  properties: {
    plans: {
      type: 'array',
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['plan', 'limits'],
        properties: {
          plan: name,
          limits: {
            type: 'object',
            additionalProperties: false,
            required: ['requestsPerSecond', 'tokensPerSecond', 'concurrency'],
            properties: {
              requestsPerSecond: positive,
              tokensPerSecond: positive,
              concurrency: {type: 'integer', minimum: 1},
            },
          },
        },
      },
    },
    customers: {
      type: 'array',
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['customer', 'plan', 'keyHashes'],
        properties: {
          customer: name,
          plan: name,
          keyHashes: {
            type: 'array',
            items: {type: 'string', pattern: '^[0-9a-f]{64}$'},
          },
        },
      },
    },
  },
});

const validateAllowancesList = createValidator<AllowancesList>({
  type: 'object',
  additionalProperties: false,
  required: ['allowances', 'currentVersions'],
  properties: {
    allowances: {
      type: 'array',
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['plan', 'service', 'engines', 'versions', 'tiers'],
        properties: {
          plan: name,
          service: {anyOf: [name, {const: '*'}]},
          engines: {type: 'array', items: {type: 'string'}, minItems: 1},
          versions: {type: 'array', items: {type: 'string'}, minItems: 1},
          tiers: {type: 'array', items: {enum: [1, 2, 3]}, minItems: 1},
        },
      },
    },
    currentVersions: {
      type: 'object',
      additionalProperties: {type: 'string', minLength: 1},
    },
  },
});

const validateMovesList = createValidator<MovesList>({
  type: 'object',
  required: ['moves'],
  properties: {
    moves: {
      type: 'array',
      items: {
        type: 'object',
        required: ['move', 'service', 'fromVersion', 'toVersion', 'phase'],
        properties: {
          move: name,
          service: name,
          phase: {enum: ['moving', 'observing', 'done', 'withdrawn']},
          share: {type: 'number', minimum: 0, maximum: 1},
        },
      },
    },
  },
});

/** Throws if a value occurs more than once. */
function checkUnique(file: string, kind: string, values: string[]): void {
  const seen = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) {
      throw new InvalidConfigError(`${file}: ${kind} "${value}" stands twice`);
    }
    seen.add(value);
  }
}

/** Parses the plans and customers; checks that every customer's plan exists. */
export function parsePlansList(text: string, file: string): PlansList {
  const list = parseJsonc(text, file, validatePlansList);
  const plans = list.plans.map(plan => plan.plan);
  checkUnique(file, 'plan', plans);
  checkUnique(
    file,
    'customer',
    list.customers.map(entry => entry.customer),
  );
  for (const {customer, plan} of list.customers) {
    if (plans.includes(plan)) continue;
    throw new InvalidConfigError(
      `${file}: customer "${customer}" has plan "${plan}", which is not ` +
        `among the plans: ${plans.join(', ')}`,
    );
  }
  return list;
}

/** Parses the document that states what each plan may use. */
export function parseAllowancesList(
  text: string,
  file: string,
): AllowancesList {
  return parseJsonc(text, file, validateAllowancesList);
}

/** Parses the document of version moves. */
export function parseMovesList(text: string, file: string): MovesList {
  return parseJsonc(text, file, validateMovesList);
}

/** Parsers of the documents that operators and the platform provide. */
export const listParsers = {
  plans: parsePlansList,
  allowances: parseAllowancesList,
  moves: parseMovesList,
} as const;
