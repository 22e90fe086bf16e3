import {ServiceKind} from './service.js';

/** Whether an endpoint takes new work. */
export const endpointState = {live: 'live', leaving: 'leaving'} as const;

/** One of the endpoint states. */
export type EndpointState = (typeof endpointState)[keyof typeof endpointState];

/** One back end as the platform lists it. */
export interface Endpoint {
  readonly endpoint: string;
  readonly service: string;
  readonly kind: ServiceKind;
  readonly version: string;
  readonly availabilityZone: string;
  /** `http://host:port`. */
  readonly address: string;
  /** Engine kind, matched against allowances. */
  readonly engine: string;
  /** Hardware generation. */
  readonly generation: number;
  readonly state: EndpointState;
  /** Whether the endpoint refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Whether a cut stream can be resumed. */
  readonly canResume: boolean;
}

/** All endpoints, as one replicated document. */
export interface EndpointsList {
  readonly endpoints: readonly Endpoint[];
}

/** One entry VM as the platform lists it; the list lags. */
export interface VmRecord {
  readonly vm: string;
  readonly availabilityZone: string;
  /** `host:port` of the peer listener. */
  readonly peerAddress: string;
}
