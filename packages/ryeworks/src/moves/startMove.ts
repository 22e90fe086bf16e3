import {PlatformPort} from '@ryeworks/platform';
import {
  AllowancesList,
  Endpoint,
  InvalidConfigError,
  MovesList,
  VersionConflictError,
  VersionMove,
} from '@ryeworks/types';
import {applyList} from '../lists/applyList.js';

/** Share of the traffic in the first step of a move. */
const initialShare = 0.01;

/** A move as an operator asks for it. */
export interface StartMoveOptions {
  readonly service: string;
  readonly toVersion: string;
  /** Wall-clock times, in ms since 1970. */
  readonly deadlineAtMs: number;
  readonly wallClockMs: number;
}

/** The moves and the version of their document. */
export interface VersionedMoves {
  readonly version: number;
  readonly moves: readonly VersionMove[];
}

/** Reads the moves. */
export async function readMoves(
  platform: PlatformPort,
): Promise<VersionedMoves> {
  const found = await platform.getObject('config', 'moves');
  const list = (found?.value ?? {moves: []}) as MovesList;
  return {version: found?.version ?? 0, moves: list.moves};
}

/** Returns the version that serves a service now. */
function getCurrentVersion(
  allowances: AllowancesList,
  moves: readonly VersionMove[],
  service: string,
): string {
  let present = allowances.currentVersions[service];
  if (present === undefined) {
    const known = Object.keys(allowances.currentVersions).join(', ');
    throw new InvalidConfigError(
      `no service "${service}" in the allowances; known: ${known}`,
    );
  }
  for (const move of moves) {
    const follows = move.service === service && move.fromVersion === present;
    if (follows && move.phase === 'done') present = move.toVersion;
  }
  return present;
}

/** Refuses a move to a version that no endpoint serves. */
async function checkTargetEndpoints(
  platform: PlatformPort,
  {service, toVersion}: StartMoveOptions,
): Promise<void> {
  const {items} = await platform.listObjects('endpoint');
  for (const {value} of items) {
    const endpoint = value as Endpoint;
    const fits = endpoint.service === service && endpoint.version === toVersion;
    if (fits && endpoint.state === 'live') return;
  }
  throw new InvalidConfigError(
    `no live endpoint serves ${service} at version ${toVersion}. ` +
      'Start its endpoints before the move.',
  );
}

/** Creates a move and writes it; one move a service at a time. */
export async function startMove(
  platform: PlatformPort,
  order: StartMoveOptions,
): Promise<VersionMove> {
  const {service, toVersion, wallClockMs} = order;
  const {version, moves} = await readMoves(platform);
  const active = moves.find(
    one =>
      one.service === service &&
      (one.phase === 'moving' || one.phase === 'observing'),
  );
  if (active !== undefined) {
    throw new VersionConflictError(
      `${service} is being moved already by ${active.move}. ` +
        `Wait for it or withdraw it: ryeworks moves withdraw ${active.move}`,
    );
  }
  await checkTargetEndpoints(platform, order);
  const allowances = await platform.getObject('config', 'allowances');
  const fromVersion = getCurrentVersion(
    allowances?.value as AllowancesList,
    moves,
    service,
  );
  if (fromVersion === toVersion) {
    throw new InvalidConfigError(`${service} is at ${toVersion} already`);
  }
  const move: VersionMove = {
    move: `${service}-${toVersion}-${wallClockMs.toString(36)}`,
    service,
    fromVersion,
    toVersion,
    deadlineAtMs: order.deadlineAtMs,
    startedAtMs: wallClockMs,
    phase: 'moving',
    step: 0,
    share: initialShare,
    stepAtMs: wallClockMs,
    late: false,
  };
  await applyList(platform, 'moves', {moves: [...moves, move]}, version);
  return move;
}

/** Takes a move back by an operator's order. */
export async function withdrawMove(
  platform: PlatformPort,
  name: string,
  wallClockMs: number,
): Promise<VersionMove> {
  const {version, moves} = await readMoves(platform);
  const move = findMove(moves, name);
  if (move.phase === 'withdrawn') return move;
  const withdrawn: VersionMove = {
    ...move,
    phase: 'withdrawn',
    share: 0,
    stepAtMs: wallClockMs,
    evidence: {
      symptom: 'operator',
      route: '',
      observed: 0,
      bad: 0,
      availabilityZone: '',
    },
  };
  const changed = moves.map(one => (one === move ? withdrawn : one));
  await applyList(platform, 'moves', {moves: changed}, version);
  return withdrawn;
}

/** Finds a move by name. */
export function findMove(
  moves: readonly VersionMove[],
  name: string,
): VersionMove {
  const move = moves.find(one => one.move === name);
  if (move !== undefined) return move;
  const known = moves.map(one => one.move).join(', ') || 'none';
  throw new InvalidConfigError(`no move "${name}"; known: ${known}`);
}
