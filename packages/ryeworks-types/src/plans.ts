/** Limits of one customer under a plan, over the whole fleet. */
export interface PlanLimits {
  readonly requestsPerSecond: number;
  /** Prompt and generated tokens together. */
  readonly tokensPerSecond: number;
  /** Requests of one tier in progress at the same time. */
  readonly concurrency: number;
}

/** A plan that customers are put on. */
export interface Plan {
  readonly plan: string;
  readonly limits: PlanLimits;
}

/** One client account. */
export interface Customer {
  readonly customer: string;
  /** Name of the customer's plan. */
  readonly plan: string;
  /** SHA-256 of each API key, in hex. */
  readonly keyHashes: readonly string[];
}

/** The operators' first list: the customers and their plans. */
export interface PlansList {
  readonly plans: readonly Plan[];
  readonly customers: readonly Customer[];
}
