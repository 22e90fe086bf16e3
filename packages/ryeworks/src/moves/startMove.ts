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

/** Share of the traffic that moves in the first step, 0 to 1. */
const initialShare = 0.01;

/** A move that an operator requests. */
export interface StartMoveOptions {
  readonly service: string;
  readonly toVersion: string;
  /** Wall-clock time of the deadline, in ms since 1970. */
  readonly deadlineAtMs: number;
  /** Current wall-clock time, in ms since 1970. */
  readonly wallClockMs: number;
}

/** All moves and the version of the document that contains them. */
export interface VersionedMoves {
  readonly version: number;
  readonly moves: readonly VersionMove[];
}

/** Reads all moves. */
export async function readMoves(
  platform: PlatformPort,
): Promise<VersionedMoves> {
  const object = await platform.getObject('config', 'moves');
  const list = (object?.value ?? {moves: []}) as MovesList;
  return {version: object?.version ?? 0, moves: list.moves};
}

/** Returns the current version of a service, after all completed moves. */
function getCurrentVersion(
  allowances: AllowancesList,
  moves: readonly VersionMove[],
  service: string,
): string {
  let currentVersion = allowances.currentVersions[service];
  if (currentVersion === undefined) {
    const knownServices = Object.keys(allowances.currentVersions).join(', ');
    throw new InvalidConfigError(
      `no service "${service}" in the allowances; known: ${knownServices}`,
    );
  }
  for (const move of moves) {
    const isFromCurrent =
      move.service === service && move.fromVersion === currentVersion;
    if (isFromCurrent && move.phase === 'done') currentVersion = move.toVersion;
  }
  return currentVersion;
}

/** Throws if no live endpoint serves the target version of a move. */
async function checkTargetEndpoints(
  platform: PlatformPort,
  {service, toVersion}: StartMoveOptions,
): Promise<void> {
  const {items} = await platform.listObjects('endpoint');
  for (const {value} of items) {
    const endpoint = value as Endpoint;
    const isTarget =
      endpoint.service === service && endpoint.version === toVersion;
    if (isTarget && endpoint.state === 'live') return;
  }
  throw new InvalidConfigError(
    `no live endpoint serves ${service} at version ${toVersion}. ` +
      'Start its endpoints before the move.',
  );
}

/**
 * Creates a move and writes it to the platform. Throws if another move of the
 * service is active, because only one is allowed at a time.
 */
export async function startMove(
  platform: PlatformPort,
  options: StartMoveOptions,
): Promise<VersionMove> {
  const {service, toVersion, wallClockMs} = options;
  const {version, moves} = await readMoves(platform);
  const activeMove = moves.find(
    candidate =>
      candidate.service === service &&
      (candidate.phase === 'moving' || candidate.phase === 'observing'),
  );
  if (activeMove !== undefined) {
    throw new VersionConflictError(
      `${service} is being moved already by ${activeMove.move}. ` +
        `Wait for it or withdraw it: ryeworks moves withdraw ${activeMove.move}`,
    );
  }
  await checkTargetEndpoints(platform, options);
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
    deadlineAtMs: options.deadlineAtMs,
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

/** Withdraws a move at the request of an operator. */
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
  const updatedMoves = moves.map(other => (other === move ? withdrawn : other));
  await applyList(platform, 'moves', {moves: updatedMoves}, version);
  return withdrawn;
}

/** Returns the move with the given name. Throws if there is none. */
export function findMove(
  moves: readonly VersionMove[],
  name: string,
): VersionMove {
  const move = moves.find(candidate => candidate.move === name);
  if (move !== undefined) return move;
  const knownNames = moves.map(other => other.move).join(', ') || 'none';
  throw new InvalidConfigError(`no move "${name}"; known: ${knownNames}`);
}
