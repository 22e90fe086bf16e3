import {VersionMove} from '@ryeworks/types';
import {findAllowance} from '../documents/planLookups.js';
import {SchedulerState} from '../schedulerState.js';
import {ActiveRequest} from '../requests/requestsState.js';

/** Returns whether a move was withdrawn, in its document or by a verdict. */
export function isWithdrawn(state: SchedulerState, move: VersionMove): boolean {
  return move.phase === 'withdrawn' || state.moves.withdrawn.has(move.move);
}

/** Versions that currently serve a service. */
export interface ServiceVersions {
  readonly current: string;
  /** The move in progress, if there is one. */
  readonly move?: VersionMove;
}

/**
 * Returns the versions of a service: its configured version, updated by the
 * finished moves, and the move in progress from that version.
 */
export function getServiceVersions(
  state: SchedulerState,
  service: string,
): ServiceVersions {
  const {allowances, moves} = state.documents.contents;
  let current = allowances.currentVersions[service] ?? '';
  let activeMove: VersionMove | undefined;
  for (const move of moves.moves) {
    if (move.service !== service || isWithdrawn(state, move)) continue;
    if (move.fromVersion !== current) continue;
    if (move.phase === 'done') current = move.toVersion;
    else activeMove = move;
  }
  return {current, move: activeMove};
}

/** Returns whether the customer's plan allows a request to use a version. */
function isVersionAllowed(
  state: SchedulerState,
  request: ActiveRequest,
  version: string,
): boolean {
  const {customer, service, tier} = request;
  const {documents} = state;
  const allowance = findAllowance(documents, customer, service.service, tier);
  const versions = allowance?.versions ?? [];
  return versions.includes('*') || versions.includes(version);
}

/**
 * Picks the version that serves a request. During a move it is picked at random
 * by the move's share, if the customer's plan allows the new version.
 */
export function decideVersion(
  state: SchedulerState,
  request: ActiveRequest,
): string {
  const {service} = request.service;
  const {current, move} = getServiceVersions(state, service);
  if (move === undefined) return current;
  if (!isVersionAllowed(state, request, move.toVersion)) return current;
  return state.random.next() < move.share ? move.toVersion : current;
}

/**
 * Returns whether a move of a service to a version was withdrawn. A version
 * that serves the service now does not count as withdrawn.
 */
export function isWithdrawnVersion(
  state: SchedulerState,
  service: string,
  version: string,
): boolean {
  const {current, move} = getServiceVersions(state, service);
  if (version === current || version === move?.toVersion) return false;
  for (const past of state.documents.contents.moves.moves) {
    if (past.service !== service || past.toVersion !== version) continue;
    if (isWithdrawn(state, past)) return true;
  }
  return false;
}
