const dispatch = 'packages/ryeworks-dispatch/dist';
const lab = 'packages/ryeworks-lab/dist';

/** Mutations of the quarantine of crashing prompts; see `proofMutations`. */
export const crashMutations = [
  {
    promise: 'prompts that crash endpoints are kept from them',
    file: `${dispatch}/crashes/findCrashingParts.js`,
    from: /minCrashes = 4/,
    to: 'minCrashes = 1e9',
    test: `${lab}/__tests__/crashingPrompts.test.js`,
  },
  {
    promise: 'prompts that crash several endpoints at once are found',
    file: `${dispatch}/crashes/probeReferences.js`,
    from: /if \(isListening\)/,
    to: 'if (false)',
    test: `${lab}/__tests__/crashingGroups.test.js`,
  },
  {
    promise: 'all parts of prompts are reported in turn',
    file: `${dispatch}/crashes/crashReports.js`,
    from: /a\.reportedAtMs - b\.reportedAtMs/,
    to: '0',
    test: `${lab}/__tests__/crashingGroups.test.js`,
  },
  {
    promise: 'a quarantined prompt finds no way to an endpoint',
    file: `${dispatch}/crashes/isQuarantined.js`,
    from: /return findQuarantine\(table, prompt, nowMs\) !== undefined/,
    to: 'return false',
    test: `${dispatch}/__tests__/callObstacles.test.js`,
  },
  {
    promise:
      'crashes that a part of prompts explains are not held against others',
    file: `${dispatch}/crashes/findCrashingParts.js`,
    from: /crashes\.delete\(process\)/,
    to: 'crashes.size >= explained.size && crashes.delete(process)',
    test: `${dispatch}/__tests__/crashingParts.test.js`,
  },
  {
    promise: 'quarantines never refuse most prompts of a service',
    file: `${dispatch}/crashes/recentPrompts.js`,
    from: /maxRefusedShare = 0\.6/,
    to: 'maxRefusedShare = 1',
    test: `${lab}/__tests__/crashingPrompts.test.js`,
  },
  {
    promise: 'a restart of all VMs forgets no crashing prompt',
    file: `${dispatch}/crashes/writeCrashReports.js`,
    from: /if \(isStored \|\| table\.isWriting\)/,
    to: 'if (true)',
    test: `${lab}/__tests__/crashingPrompts.test.js`,
  },
  {
    promise: 'a process that another one replaces has crashed',
    file: `${dispatch}/crashes/processEnds.js`,
    from: /!isSameStart\(listed, startedAtMs\)/,
    to: 'false',
    test: `${dispatch}/__tests__/crashingParts.test.js`,
  },
  {
    promise: 'an answer that ends like a crash shows no prompt to be sound',
    file: `${dispatch}/requests/handleCallEvents.js`,
    from: /isUnframed &&/,
    to: 'false &&',
    test: `${dispatch}/__tests__/crashingParts.test.js`,
  },
];
