import {Tier, Endpoint} from '@ryeworks/types';
import {EndpointStats} from './endpointStats.js';

/** An ask that waits for a grant. */
export interface QueuedGrantRequest {
  readonly askId: string;
  readonly holder: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
  readonly engines: readonly string[];
  readonly avoid: readonly string[];
  /** Whether to prefer the busiest endpoint, to see it under load. */
  readonly isPacked: boolean;
  /** End of the whole call, in ms. */
  readonly deadlineMs: number;
}

/** A grant in use. */
export interface Grant {
  readonly askId: string;
  readonly holder: string;
  readonly endpoint: string;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly grantedAtMs: number;
  /** When the holder last reported it, in ms. */
  renewedAtMs: number;
}

/** What the admission owner of a cell keeps. */
export interface Cell {
  readonly cellKey: string;
  readonly service: string;
  /** Waiting asks, highest tier and earliest deadline first. */
  readonly queue: QueuedGrantRequest[];
  readonly grants: Map<string, Grant>;
  readonly endpointStats: Map<string, EndpointStats>;
  /** Running mean of the time that a grant is held, in ms. */
  meanHoldMs: number;
  /** When the cell is next looked at, in ms. */
  sweepAtMs: number;
}

/** A load report of an endpoint and when it arrived. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly atMs: number;
}

/** Endpoints by cell, and the cells that this VM owns. */
export interface AdmissionState {
  readonly cells: Map<string, Cell>;
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
