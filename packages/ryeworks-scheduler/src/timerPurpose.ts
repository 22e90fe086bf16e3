/** Purpose of a timer; selects its handler. */
export type TimerPurpose =
  | 'probe'
  | 'probeTimeout'
  | 'suspicionTimeout'
  | 'requestDeadline'
  | 'grantRequestTimeout'
  | 'retryBackoff'
  | 'progressTimeout'
  | 'resumeBackoff'
  | 'claimTimeout'
  | 'claimCopyTimeout'
  | 'cellSweep'
  | 'renewGrants'
  | 'reportLimits'
  | 'reportEvidence'
  | 'updateMoves'
  | 'sweepClaims'
  | 'reportStatus';
