/** Purpose of a timer; selects its handler. */
export type TimerPurpose =
  | 'probe'
  | 'probeTimeout'
  | 'suspicion'
  | 'requestDeadline'
  | 'askTimeout'
  | 'retryBackoff'
  | 'progress'
  | 'claimTimeout'
  | 'copyTimeout'
  | 'cellSweep'
  | 'renewGrants'
  | 'reportLimits'
  | 'reportEvidence'
  | 'leadMoves'
  | 'sweepClaims'
  | 'reportStatus';
