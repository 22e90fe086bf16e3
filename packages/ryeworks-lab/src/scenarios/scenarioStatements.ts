import {FleetSize} from '../fleet/createFleet.js';
import {CallerBehavior} from '../harness/callLedger.js';

/** A fault or an operator action; `verb` selects its handler. */
export interface ScenarioAction {
  readonly verb: string;
  readonly vm?: string;
  readonly a?: string;
  readonly b?: string;
  readonly durationMs?: number;
  readonly rate?: number;
  readonly count?: number;
  readonly endpoint?: string;
  readonly factor?: number;
  readonly version?: string;
  readonly failRate?: number;
  readonly slowFactor?: number;
  readonly afterCalls?: number;
  readonly fromBatch?: number;
  readonly route?: string;
}

/** Conditions that restrict the calls or dispatches of a metric. */
export interface MetricQualifiers {
  readonly tier?: number;
  readonly version?: string;
  readonly endpoint?: string;
  readonly sinceMs?: number;
  readonly untilMs?: number;
}

/** A parsed statement, which is one line of a scenario file. */
export type ScenarioStatement = {readonly line: number} & (
  | {readonly kind: 'title'; readonly text: string}
  | {readonly kind: 'deployment'; readonly name: string}
  | {readonly kind: 'vms'; readonly count: number}
  | ({readonly kind: 'fleet'} & FleetSize)
  | {readonly kind: 'engines'; readonly generations: number[]}
  | {
      readonly kind: 'option';
      readonly name: string;
      readonly value: number | string;
    }
  | {readonly kind: 'run'; readonly durationMs: number}
  | ({
      readonly kind: 'load';
      readonly fromMs: number;
      readonly toMs: number;
      readonly call: string;
      readonly rate: number;
      /** Overrides the deadline of the kind of call, in ms; null to keep it. */
      readonly deadlineMs: number | null;
    } & CallerBehavior)
  | {
      readonly kind: 'fault';
      readonly atMs: number;
      readonly action: ScenarioAction;
    }
  | {
      readonly kind: 'expect';
      readonly metric: string;
      readonly qualifiers: MetricQualifiers;
      readonly operator: '>=' | '<=' | '=';
      readonly value: number;
    }
);

/** The type of the statements of one kind. */
export type StatementOf<K extends ScenarioStatement['kind']> = Extract<
  ScenarioStatement,
  {kind: K}
>;

/** Returns the statements of one kind. */
export function getStatements<K extends ScenarioStatement['kind']>(
  statements: readonly ScenarioStatement[],
  kind: K,
): StatementOf<K>[] {
  return statements.filter(
    statement => statement.kind === kind,
  ) as StatementOf<K>[];
}
