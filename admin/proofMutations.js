const scheduler = 'packages/ryeworks-scheduler/dist';
const dispatch = 'packages/ryeworks-dispatch/dist';

/**
 * Mutations of the compiled decision cores. Each one disables the mechanism behind a
 * promise, so that the given scenario or test must fail.
 */
export const proofMutations = [
  {
    promise: 'a call with an idempotency key runs at most once (claims)',
    file: `${scheduler}/requests/handleRequestReceived.js`,
    from: /claimKey: needsClaim \? input\.idempotencyKey : ''/,
    to: "claimKey: ''",
    scenario: 'vm-killed',
  },
  {
    promise: 'an interrupted dispatch-once call is never sent again',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /cut: \{ idempotent: true, dispatchOnce: false/,
    to: 'cut: { idempotent: true, dispatchOnce: true',
    scenario: 'engine-crash',
  },
  {
    promise: 'a request reported as "not run" has not run',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /reason: 'silent',\s+ran: runStatus\.unknown/,
    to: "reason: 'silent', ran: 'not-run'",
    scenario: 'silent-endpoint',
  },
  {
    promise: 'the highest tier is served first in a cell',
    file: `${scheduler}/admission/cellQueue.js`,
    from: /a\.tier - b\.tier \|\| /,
    to: '',
    test: `${scheduler}/__tests__/cellQueue.test.js`,
  },
  {
    promise: 'the highest tier is served first across zones',
    file: `${scheduler}/requests/askForGrant.js`,
    from: /const maxEarlyGrantCells = 4/,
    to: 'const maxEarlyGrantCells = 0',
    scenario: 'uneven-zones',
  },
  {
    promise: 'a request that cannot start in time is refused at once',
    file: `${scheduler}/admission/decideGrants.js`,
    from: /if \(latestStartMs >= nowMs && !isCoolingDown\)/,
    to: 'if (true)',
    scenario: 'top-tier-overload',
  },
  {
    promise: 'a leaving endpoint gets no new requests',
    file: `${scheduler}/admission/handleEndpointsChanged.js`,
    from: /endpoint\.state === endpointState\.live/,
    to: 'true',
    scenario: 'endpoint-leaves',
    also: {
      file: `${scheduler}/requests/handleGrants.js`,
      from: /endpoint\?\.state === endpointState\.live/,
      to: 'endpoint !== undefined',
    },
  },
  {
    promise: 'a change is applied everywhere although zones are partitioned',
    file: `${scheduler}/documents/handleDocuments.js`,
    from: /if \(version <= documents\.versions\[name\]\)\s+return \[\];\s+const haveVersion/,
    to: 'return [];\n    const haveVersion',
    scenario: 'config-change',
  },
  {
    promise: 'an applied change is never reverted',
    file: `${scheduler}/documents/handleDocuments.js`,
    from: /if \(version <= documents\.versions\[name\]\)\s+return \[\];\s+const content/,
    to: 'const content',
    scenario: 'old-watcher',
    also: {
      file: `${scheduler}/documents/handleDocuments.js`,
      from: /if \(input\.version <= state\.documents\.versions\[input\.name\]\)\s+return \[\];/,
      to: '',
    },
  },
  {
    promise: 'a bad version gets no requests soon after its faults appear',
    file: `${scheduler}/moves/decideVersion.js`,
    from: /state\.moves\.withdrawn\.has\(move\.move\)/,
    to: 'false',
    scenario: 'move-bad-slow-partition',
  },
  {
    promise: 'a call without progress is ended',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /const resumed = resumeStream\(state, request, 'silent', nowMs\);/,
    to: 'return [];',
    scenario: 'silent-connection',
  },
  {
    promise: 'a planned stop interrupts no request',
    file: `${scheduler}/requests/handleStopRequested.js`,
    from: /state\.draining = true;/,
    to: 'state.draining = true; for (const id of state.requests.active.keys()) state.timers.set("requestDeadline", id, 0);',
    scenario: 'planned-stop',
  },
  {
    promise: 'a VM that was paused does not act on its former ownership',
    file: `${scheduler}/claims/handleMemberChanges.js`,
    from: /claims\.isComplete = false;/,
    to: 'claims.isComplete = true;',
    test: `${scheduler}/__tests__/processPause.test.js`,
  },
  {
    promise: 'an endpoint gets no more requests than the limit that it names',
    file: `${dispatch}/rateLimits/permits.js`,
    from: /if \(limit === undefined \|\| limit\.heldPermits > 0\)/,
    to: 'if (true)',
    scenario: 'endpoint-limits',
  },
  {
    promise: 'one VM grants the permits of a limit, for all VMs together',
    file: `${dispatch}/rateLimits/permits.js`,
    from: /return limit\.owner === state\.options\.vm;/,
    to: 'return true;',
    scenario: 'endpoint-limits',
  },
  {
    promise: 'an endpoint whose limit is lifted is not rushed',
    file: `${dispatch}/rateLimits/rateLimit.js`,
    from: /nowMs - liftedAtMs >= rampMs/,
    to: 'true',
    scenario: 'service-limited',
  },
  {
    promise: 'positions of a store that came back from a copy are not confused',
    file: `${dispatch}/store/storePosition.js`,
    from: /if \(position\.era !== other\.era\)/,
    to: 'if (false)',
    test: `${dispatch}/__tests__/storeEra.test.js`,
  },
  {
    promise: 'entries that were lost with a copy have time to return',
    file: `${dispatch}/store/storeEra.js`,
    from: /return nowMs - relistedAtMs < returnGracePeriodMs;/,
    to: 'return false;',
    test: `${dispatch}/__tests__/storeEra.test.js`,
  },
];
