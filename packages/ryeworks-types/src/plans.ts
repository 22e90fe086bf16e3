/** Limits of one customer on a plan, across the whole deployment. */
export interface PlanLimits {
  readonly requestsPerSecond: number;
  /** Prompt tokens plus generated tokens. */
  readonly tokensPerSecond: number;
  /** Maximum concurrent requests of one tier. */
  readonly concurrency: number;
}

/** A plan that customers can be assigned to. */
export interface Plan {
  readonly plan: string;
  readonly limits: PlanLimits;
}

/** A customer account. */
export interface Customer {
  readonly customer: string;
  /** Name of the customer's plan. */
  readonly plan: string;
  /** Hexadecimal SHA-256 hash of each API key. */
  readonly keyHashes: readonly string[];
}

/** Document maintained by operators: the plans and the customers. */
export interface PlansList {
  readonly plans: readonly Plan[];
  readonly customers: readonly Customer[];
}
