import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {Endpoint} from './endpoint.js';
import {EndpointEntry} from './endpointTable.js';
import {findProcessEntry} from './formerEntries.js';
import {recordLeavingReport} from './noticeRecord.js';

/** Returns the era of the endpoints' entries; 0 if the store names none. */
export function getListedEra({storeEra}: DispatchState): number {
  return storeEra.listed ?? 0;
}

/**
 * Returns an endpoint as it is used: a process that the store listed as draining in
 * an earlier era goes on draining, as the copy that lists it otherwise is older.
 */
export function resumeDraining(
  state: DispatchState,
  endpoint: Endpoint,
): Endpoint {
  if (endpoint.isDraining) return endpoint;
  const notices = findProcessEntry(state.endpoints, endpoint)?.notices;
  if (notices?.drainingEra === undefined) return endpoint;
  // Without a start time, another process may have taken its place.
  const {startedAtMs} = endpoint;
  const isKnown = startedAtMs !== 0 && startedAtMs === notices.startedAtMs;
  const isEarlier = notices.drainingEra < getListedEra(state);
  return isKnown && isEarlier ? {...endpoint, isDraining: true} : endpoint;
}

/** Records in which era the store listed an endpoint as draining. */
export function recordDraining(
  state: DispatchState,
  {endpoint, notices}: EndpointEntry,
): void {
  if (endpoint.isDraining) notices.drainingEra ??= getListedEra(state);
  else notices.drainingEra = undefined;
}

/**
 * Applies that the store, in an earlier era, removed a process that it lists now: an
 * older copy may list what has left, for as long as nobody removes it again. It may
 * also have been cut off and be back, so that this only weighs.
 */
export function applyEarlierRemoval(
  state: DispatchState,
  {endpoint, notices}: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {removedEra} = notices;
  notices.removedEra = undefined;
  if (removedEra === undefined || removedEra >= getListedEra(state)) return [];
  if (!recordLeavingReport(notices, nowMs)) return [];
  return [
    createCount('endpoint_notices', {notice: 'leaving_reported'}),
    createLog('endpoint_leaving', {endpoint: endpoint.id, source: 'store'}),
  ];
}
