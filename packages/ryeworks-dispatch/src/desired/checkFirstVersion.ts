import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {handleEarlyRequests} from '../requests/handleRequestReceived.js';

/**
 * Time that a VM with a first desired state waits for a digest of a peer, in ms.
 */
const firstDigestWaitMs = 200;
/** Time that it waits for a newer version that a peer has applied, in ms. */
const newerVersionWaitMs = 1500;

/** Returns the newest version that a peer has applied; -1 if none is known. */
function getNewestPeerVersion(state: DispatchState): number {
  let newest = -1;
  for (const {desiredVersion} of state.peers.byVm.values()) {
    newest = Math.max(newest, desiredVersion);
  }
  return newest;
}

/** Starts the check of the first desired state that this VM has read. */
export function startVersionCheck(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  for (const waitMs of [firstDigestWaitMs, newerVersionWaitMs]) {
    state.timers.set('versionCheck', `${waitMs}`, nowMs + waitMs);
  }
  return checkFirstVersion(state, nowMs);
}

/** Ends the check and handles the requests that waited for it. */
function endVersionCheck(state: DispatchState, nowMs: number): Effect[] {
  state.hasCheckedVersion = true;
  const version = state.desiredState.current?.version ?? -1;
  const newestPeerVersion = getNewestPeerVersion(state);
  return [
    createLog('first_version_checked', {version, newestPeerVersion}),
    ...handleEarlyRequests(state, nowMs),
  ];
}

/**
 * Ends the check of the first desired state once a peer has named its version
 * and this VM has applied one that is as new. A store that has come back from an
 * older copy may return a version that the peers have replaced.
 */
export function checkFirstVersion(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const {current} = state.desiredState;
  if (state.hasCheckedVersion || current === undefined) return [];
  const newestPeerVersion = getNewestPeerVersion(state);
  const isKnown = newestPeerVersion >= 0;
  if (!isKnown || newestPeerVersion > current.version) return [];
  return endVersionCheck(state, nowMs);
}

/** Ends a wait of the check. */
export function expireVersionCheck(
  state: DispatchState,
  waitMs: string,
  nowMs: number,
): Effect[] {
  if (state.hasCheckedVersion) return [];
  const isLastWait = waitMs === `${newerVersionWaitMs}`;
  if (!isLastWait && getNewestPeerVersion(state) >= 0) return [];
  return endVersionCheck(state, nowMs);
}
