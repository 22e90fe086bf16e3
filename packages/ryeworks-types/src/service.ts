import {RouteClass} from './routeClass.js';
import {Tier} from './tier.js';

/** What kind of back end a service has. */
export const serviceKind = {model: 'model', plain: 'plain'} as const;

/** One of the service kinds. */
export type ServiceKind = (typeof serviceKind)[keyof typeof serviceKind];

/** One route of a service and the class of its calls. */
export interface ServiceRoute {
  /** HTTP method, upper case. */
  readonly method: string;
  /** Path; a trailing `*` matches any rest. */
  readonly path: string;
  /** How often a call may reach a back end. */
  readonly class: RouteClass;
}

/** A service that callers name: a model, or a plain HTTP service. */
export interface ServiceDefinition {
  /** Name of the service; for a model, the name that callers send. */
  readonly service: string;
  readonly kind: ServiceKind;
  readonly routes: readonly ServiceRoute[];
  /** Tier of a call that names none. */
  readonly defaultTier: Tier;
  /** Time for the whole call when the caller names none, in ms. */
  readonly defaultDeadlineMs: number;
  /** Longest acceptable time to the first token or response byte, in ms. */
  readonly firstTokenTargetMs: number;
  /** Longest acceptable mean time between tokens, in ms; 0 for plain. */
  readonly interTokenTargetMs: number;
  /** Concurrent calls an endpoint is first trusted with. */
  readonly initialConcurrency: number;
}
