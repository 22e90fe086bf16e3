import {VersionMove} from '@ryeworks/types';
import {findAllowance} from '../documents/planLookups.js';
import {NodeState} from '../nodeState.js';
import {ActiveRequest} from '../requests/requestsState.js';

/** Tells whether a move was taken back, by the platform or by a verdict. */
export function isWithdrawn(state: NodeState, move: VersionMove): boolean {
  return move.phase === 'withdrawn' || state.moves.withdrawn.has(move.move);
}

/** Versions that serve a service now. */
export interface ServiceVersions {
  readonly current: string;
  /** The move under way, if there is one. */
  readonly move?: VersionMove;
}

/** Finds the versions of a service: finished moves, then the one under way. */
export function getServiceVersions(
  state: NodeState,
  service: string,
): ServiceVersions {
  const {allowances, moves} = state.documents.contents;
  let current = allowances.currentVersions[service] ?? '';
  let active: VersionMove | undefined;
  for (const move of moves.moves) {
    if (move.service !== service || isWithdrawn(state, move)) continue;
    if (move.fromVersion !== current) continue;
    if (move.phase === 'done') current = move.toVersion;
    else active = move;
  }
  return {current, move: active};
}

/** Tells whether the plan of a request lets it use a version. */
function isVersionAllowed(
  state: NodeState,
  request: ActiveRequest,
  version: string,
): boolean {
  const {customer, service, tier} = request;
  const {documents} = state;
  const allowance = findAllowance(documents, customer, service.service, tier);
  const versions = allowance?.versions ?? [];
  return versions.includes('*') || versions.includes(version);
}

/** Picks the version that serves a request. */
export function decideVersion(
  state: NodeState,
  request: ActiveRequest,
): string {
  const {service} = request.service;
  const {current, move} = getServiceVersions(state, service);
  if (move === undefined) return current;
  if (!isVersionAllowed(state, request, move.toVersion)) return current;
  return state.random.next() < move.share ? move.toVersion : current;
}

/** Tells whether a version of a service was found bad by its last move. */
export function isWithdrawnVersion(
  state: NodeState,
  service: string,
  version: string,
): boolean {
  const {current, move} = getServiceVersions(state, service);
  if (version === current || version === move?.toVersion) return false;
  for (const one of state.documents.contents.moves.moves) {
    if (one.service !== service || one.toVersion !== version) continue;
    if (isWithdrawn(state, one)) return true;
  }
  return false;
}
