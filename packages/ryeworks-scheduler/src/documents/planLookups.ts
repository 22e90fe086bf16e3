import {
  Allowance,
  AllowancesList,
  Customer,
  PlanLimits,
  PlansList,
  Tier,
} from '@ryeworks/types';
import {DocumentsState} from './documentsState.js';

/** Look-ups of a plans list. */
interface PlansIndex {
  readonly customers: Map<string, Customer>;
  readonly customerByKeyHash: Map<string, Customer>;
  readonly limits: Map<string, PlanLimits>;
}

const plansIndexes = new WeakMap<PlansList, PlansIndex>();

/** Returns the look-ups of a plans list, made once for each version. */
function getPlansIndex(list: PlansList): PlansIndex {
  const known = plansIndexes.get(list);
  if (known !== undefined) return known;
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

/** Finds the customer that an API key belongs to, by the key's SHA-256. */
export function findCustomerByKeyHash(
  documents: DocumentsState,
  keyHash: string,
): string | undefined {
  const index = getPlansIndex(documents.contents.plans);
  return index.customerByKeyHash.get(keyHash)?.customer;
}

/** Finds the limits of a customer. */
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

/** Returns the allowances of each plan, made once for each version. */
function getAllowanceIndex(list: AllowancesList): Map<string, Allowance[]> {
  const known = allowanceIndexes.get(list);
  if (known !== undefined) return known;
  const index = new Map<string, Allowance[]>();
  for (const allowance of list.allowances) {
    const ofPlan = index.get(allowance.plan) ?? [];
    ofPlan.push(allowance);
    index.set(allowance.plan, ofPlan);
  }
  allowanceIndexes.set(list, index);
  return index;
}

/** Finds what lets a customer use a service at a tier. */
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
