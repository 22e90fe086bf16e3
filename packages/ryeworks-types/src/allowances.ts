import {Tier} from './tier.js';

/** What one plan may use of one service. `*` stands for any. */
export interface Allowance {
  readonly plan: string;
  /** Service or model name, or `*`. */
  readonly service: string;
  /** Engine kinds, or `*`. */
  readonly engines: readonly string[];
  /** Versions, or `*`. */
  readonly versions: readonly string[];
  readonly tiers: readonly Tier[];
}

/** The operators' second list: what each plan may use. */
export interface AllowancesList {
  readonly allowances: readonly Allowance[];
  /** Version that serves each service while no move is under way. */
  readonly currentVersions: Readonly<Record<string, string>>;
}
