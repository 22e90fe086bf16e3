import {Tier} from './tier.js';

/** Engines, versions and tiers of a service that a plan may use. */
export interface Allowance {
  readonly plan: string;
  /** Service or model name, or `*` for any. */
  readonly service: string;
  /** Engine kinds, or `*` for any. */
  readonly engines: readonly string[];
  /** Versions, or `*` for any. */
  readonly versions: readonly string[];
  readonly tiers: readonly Tier[];
}

/** Document maintained by operators: what each plan may use. */
export interface AllowancesList {
  readonly allowances: readonly Allowance[];
  /** Version that serves each service until a move from it is done. */
  readonly currentVersions: Readonly<Record<string, string>>;
}
