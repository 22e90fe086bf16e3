import {VersionMove} from '@ryeworks/types';

/** Describes a move in one line. */
export function describeMove(move: VersionMove): string {
  const {service, fromVersion, toVersion, phase, share, evidence} = move;
  const percent = `${Math.round(share * 100)} %`;
  const deadline = new Date(move.deadlineAtMs).toISOString();
  const lateText = move.late ? ', late' : '';
  const evidenceText =
    evidence === undefined
      ? ''
      : `: ${evidence.symptom}` +
        (evidence.route === '' ? '' : ` on ${evidence.route}`) +
        `, ${evidence.bad} of ${evidence.observed} calls` +
        (evidence.availabilityZone === ''
          ? ''
          : `, seen in ${evidence.availabilityZone}`);
  return (
    `${move.move}  ${service} ${fromVersion} -> ${toVersion}  ` +
    `${phase} (${percent})  by ${deadline}${lateText}${evidenceText}`
  );
}
