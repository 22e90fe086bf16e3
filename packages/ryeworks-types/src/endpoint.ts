import {ServiceKind} from './service.js';

/** Whether an endpoint accepts new requests (live) or is leaving. */
export const endpointState = {live: 'live', leaving: 'leaving'} as const;

/** One of the endpoint states. */
export type EndpointState = (typeof endpointState)[keyof typeof endpointState];

/** A back end as listed by the platform. */
export interface Endpoint {
  readonly endpoint: string;
  readonly service: string;
  readonly kind: ServiceKind;
  readonly version: string;
  readonly availabilityZone: string;
  /** Base URL: `http://host:port`. */
  readonly address: string;
  /** Engine kind; the allowances of a plan refer to it. */
  readonly engine: string;
  /** Hardware generation. */
  readonly generation: number;
  readonly state: EndpointState;
  /** Whether the endpoint rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Whether an interrupted stream can be resumed. */
  readonly canResume: boolean;
}

/** Replicated document that lists all endpoints. */
export interface EndpointsList {
  readonly endpoints: readonly Endpoint[];
}

/** An entry VM as listed by the platform. The list may be out of date. */
export interface VmRecord {
  readonly vm: string;
  readonly availabilityZone: string;
  /** `host:port` of the peer listener. */
  readonly peerAddress: string;
}
