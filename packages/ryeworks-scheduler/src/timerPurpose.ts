/** Purpose of a timer; selects its handler. */
export type TimerPurpose =
  | 'probe'
  | 'probeTimeout'
  | 'suspicionTimeout'
  | 'requestDeadline'
  | 'grantAskTimeout'
  | 'retryBackoff'
  | 'progressTimeout'
  | 'claimTimeout'
  | 'claimCopyTimeout'
  | 'cellSweep'
  | 'renewGrants'
  | 'reportLimits'
  | 'reportEvidence'
  | 'updateMoves'
  | 'sweepClaims'
  | 'reportStatus';
