const scheduler = 'packages/ryeworks-scheduler/dist';

/**
 * For each promise: a change of the compiled scheduler that takes its mechanism
 * out, and the scenario that must then fail.
 */
export const proofMutations = [
  {
    promise: 'a keyed call runs at most once (claims)',
    file: `${scheduler}/requests/handleRequestReceived.js`,
    from: /claimKey: needsClaim \? input\.idempotencyKey : ''/,
    to: "claimKey: ''",
    scenario: 'vm-killed',
  },
  {
    promise: 'a cut dispatch-once call is never sent again',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /cut: \{ idempotent: true, dispatchOnce: false/,
    to: 'cut: { idempotent: true, dispatchOnce: true',
    scenario: 'engine-crash',
  },
  {
    promise: '"not run" means not run',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /reason: 'silent',\s+ran: runStatus\.unknown/,
    to: "reason: 'silent', ran: 'not-run'",
    scenario: 'silent-endpoint',
  },
  {
    promise: 'the highest tier goes first in a cell',
    file: `${scheduler}/admission/cellQueue.js`,
    from: /a\.tier - b\.tier \|\| /,
    to: '',
    test: `${scheduler}/__tests__/cellQueue.test.js`,
  },
  {
    promise: 'the highest tier goes first across zones',
    file: `${scheduler}/requests/askForGrant.js`,
    from: /const maxEarlyGrantCells = 4/,
    to: 'const maxEarlyGrantCells = 0',
    scenario: 'uneven-zones',
  },
  {
    promise: 'a request given up is answered at once',
    file: `${scheduler}/admission/decideGrants.js`,
    from: /if \(latestStartMs >= nowMs && !isCoolingDown\)/,
    to: 'if (true)',
    scenario: 'top-tier-overload',
  },
  {
    promise: 'an endpoint that leaves gets no new work',
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
    promise: 'a change is in force everywhere though zones are cut off',
    file: `${scheduler}/documents/handleDocuments.js`,
    from: /if \(version <= documents\.versions\[name\]\)\s+return \[\];\s+const haveVersion/,
    to: 'return [];\n    const haveVersion',
    scenario: 'config-change',
  },
  {
    promise: 'a change never reverts',
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
    promise: 'a bad version gets no request soon after it shows',
    file: `${scheduler}/moves/decideVersion.js`,
    from: /state\.moves\.withdrawn\.has\(move\.move\)/,
    to: 'false',
    scenario: 'move-bad-slow-partition',
  },
  {
    promise: 'a silent call ends',
    file: `${scheduler}/requests/handleEndpointEvents.js`,
    from: /const resumed = resumeStream\(state, request, 'silent', nowMs\);/,
    to: 'return [];',
    scenario: 'silent-connection',
  },
  {
    promise: 'a planned stop cuts nothing',
    file: `${scheduler}/requests/handleStopRequested.js`,
    from: /state\.draining = true;/,
    to: 'state.draining = true; for (const id of state.requests.active.keys()) state.timers.set("requestDeadline", id, 0);',
    scenario: 'planned-stop',
  },
  {
    promise: 'a paused VM does not act on what it owned',
    file: `${scheduler}/claims/handleMemberChanges.js`,
    from: /claims\.isComplete = false;/,
    to: 'claims.isComplete = true;',
    test: `${scheduler}/__tests__/processPause.test.js`,
  },
];
