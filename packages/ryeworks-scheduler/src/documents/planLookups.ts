import {
  Allowance,
  AllowancesList,
  Customer,
  PlanLimits,
  PlansList,
  Tier,
} from '@ryeworks/types';
import {DocumentsState} from './documentsState.js';

/** Lookup tables of a plans list. */
interface PlansIndex {
  readonly customers: Map<string, Customer>;
  readonly customerByKeyHash: Map<string, Customer>;
  readonly limits: Map<string, PlanLimits>;
}

const plansIndexes = new WeakMap<PlansList, PlansIndex>();

/** Returns the lookup tables of a plans list, built once for each version. */
function getPlansIndex(list: PlansList): PlansIndex {
  const cached = plansIndexes.get(list);
  if (cached !== undefined) return cached;
  const customers = new Map<string, Customer>();
  const customerByKeyHash = new Map<string, Customer>();
  for (const customer of list.customers) {
    customers.set(customer.customer, customer);
    for (const hash of customer.keyHashes) {
      customerByKeyHash.set(hash, customer);
    }
  }
  const limits = new Map(list.plans.map(plan => [plan.plan, plan.limits]));
  const index = {customers, customerByKeyHash, limits};
  plansIndexes.set(list, index);
  return index;
}

/** Finds the customer of an API key by the key's SHA-256 hash. */
export function findCustomerByKeyHash(
  documents: DocumentsState,
  keyHash: string,
): string | undefined {
  const index = getPlansIndex(documents.contents.plans);
  return index.customerByKeyHash.get(keyHash)?.customer;
}

/** Finds the limits of a customer's plan. */
export function findLimits(
  documents: DocumentsState,
  customer: string,
): PlanLimits | undefined {
  const index = getPlansIndex(documents.contents.plans);
  const plan = index.customers.get(customer)?.plan;
  return plan === undefined ? undefined : index.limits.get(plan);
}

const allowanceIndexes = new WeakMap<
  AllowancesList,
  Map<string, Allowance[]>
>();

/** Returns the allowances by plan, built once for each version of the list. */
function getAllowanceIndex(list: AllowancesList): Map<string, Allowance[]> {
  const cached = allowanceIndexes.get(list);
  if (cached !== undefined) return cached;
  const index = new Map<string, Allowance[]>();
  for (const allowance of list.allowances) {
    const planAllowances = index.get(allowance.plan) ?? [];
    planAllowances.push(allowance);
    index.set(allowance.plan, planAllowances);
  }
  allowanceIndexes.set(list, index);
  return index;
}

/** Finds the allowance that permits a customer to use a service at a tier. */
export function findAllowance(
  documents: DocumentsState,
  customer: string,
  service: string,
  tier: Tier,
): Allowance | undefined {
  const plansIndex = getPlansIndex(documents.contents.plans);
  const plan = plansIndex.customers.get(customer)?.plan;
  if (plan === undefined) return undefined;
  const index = getAllowanceIndex(documents.contents.allowances);
  for (const allowance of index.get(plan) ?? []) {
    const isService =
      allowance.service === '*' || allowance.service === service;
    if (isService && allowance.tiers.includes(tier)) return allowance;
  }
  return undefined;
}
