import {Tier, Endpoint} from '@ryeworks/types';
import {EndpointStats} from './endpointStats.js';

/** A grant request that waits in the queue of a cell. */
export interface QueuedGrantRequest {
  readonly askId: string;
  /** VM that asked for the grant. */
  readonly holder: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
  /** Engine kinds that the plan allows; empty for any. */
  readonly engines: readonly string[];
  /** Endpoints that already failed this request. */
  readonly avoid: readonly string[];
  /** Whether to prefer the busiest endpoint, to observe it under load. */
  readonly isPacked: boolean;
  /** Time by which the whole call must end, in ms. */
  readonly deadlineMs: number;
}

/** A grant in use: permission to run one call on an endpoint. */
export interface Grant {
  readonly askId: string;
  readonly holder: string;
  readonly endpoint: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly grantedAtMs: number;
  /** When the holder last reported the grant as in use, in ms. */
  renewedAtMs: number;
}

/**
 * State that the admission owner of a cell keeps. A cell is a group of
 * endpoints of one service version in one zone, for which one VM issues all
 * grants.
 */
export interface Cell {
  readonly cellKey: string;
  readonly service: string;
  /** Waiting grant requests, highest tier and earliest deadline first. */
  readonly queue: QueuedGrantRequest[];
  readonly grants: Map<string, Grant>;
  /** Statistics by endpoint. */
  readonly endpointStats: Map<string, EndpointStats>;
  /** Running mean of the time for which a grant is held, in ms. */
  meanHoldMs: number;
  /** When the next sweep of the cell is due, in ms. */
  sweepAtMs: number;
}

/** The load that an endpoint reported. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  /** When the report arrived, in ms. */
  readonly atMs: number;
}

/** Endpoints, their division into cells, and the cells that this VM owns. */
export interface AdmissionState {
  /** Cells for which this VM issues the grants, by cell key. */
  readonly cells: Map<string, Cell>;
  /** Live endpoints by cell key. */
  readonly cellEndpoints: Map<string, Endpoint[]>;
  readonly cellKeyByEndpoint: Map<string, string>;
  readonly endpoints: Map<string, Endpoint>;
  readonly loadReports: Map<string, LoadReport>;
}

/** Creates an admission state without endpoints. */
export function createAdmissionState(): AdmissionState {
  return {
    cells: new Map(),
    cellEndpoints: new Map(),
    cellKeyByEndpoint: new Map(),
    endpoints: new Map(),
    loadReports: new Map(),
  };
}
