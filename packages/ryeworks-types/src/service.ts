import {RouteClass} from './routeClass.js';
import {Tier} from './tier.js';

/** Kinds of back ends that a service can have. */
export const serviceKind = {model: 'model', plain: 'plain'} as const;

/** One of the service kinds. */
export type ServiceKind = (typeof serviceKind)[keyof typeof serviceKind];

/** One route of a service and the class of its calls. */
export interface ServiceRoute {
  /** HTTP method, upper case. */
  readonly method: string;
  /** Path; a trailing `*` matches any suffix. */
  readonly path: string;
  /** Class of the route: how often a call may reach a back end. */
  readonly class: RouteClass;
}

/** A service that callers can request: a model or a plain HTTP service. */
export interface ServiceDefinition {
  /** Name of the service; for a model, the name that callers pass. */
  readonly service: string;
  readonly kind: ServiceKind;
  readonly routes: readonly ServiceRoute[];
  /** Tier of a call that does not specify one. */
  readonly defaultTier: Tier;
  /** Time limit of a call that does not specify a deadline, in ms. */
  readonly defaultDeadlineMs: number;
  /** Longest acceptable time to the first token or response byte, in ms. */
  readonly firstTokenTargetMs: number;
  /** Longest acceptable mean time between tokens, in ms; 0 if not a model. */
  readonly interTokenTargetMs: number;
  /** Initial limit of concurrent calls to an endpoint. */
  readonly initialConcurrency: number;
}
