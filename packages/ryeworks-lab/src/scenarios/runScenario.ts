import {
  aerolithPlan,
  DeploymentPlan,
  desatorosPlan,
} from '../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {actionHandlers} from './actions.js';
import {parse} from './gen/scenarioParser.js';
import {metrics} from './metrics.js';
import {ScenarioStatement, StatementOf} from './scenarioStatements.js';

const deployments: Readonly<Record<string, DeploymentPlan>> = {
  aerolith: aerolithPlan,
  desatoros: desatorosPlan,
};

/** One expectation and what was found. */
export interface CheckedExpectation {
  readonly line: number;
  readonly text: string;
  readonly actual: number;
  readonly isMet: boolean;
}

/** Result of one scenario. */
export interface ScenarioResult {
  readonly title: string;
  readonly seed: number;
  readonly expectations: readonly CheckedExpectation[];
  readonly harness: ScenarioHarness;
}

/** Parses a scenario; the error names file, line and column. */
export function parseScenario(text: string, file: string): ScenarioStatement[] {
  try {
    return parse(text, {}) as ScenarioStatement[];
  } catch (error) {
    const {location, message} = error as {
      location?: {start: {line: number; column: number}};
      message: string;
    };
    const {line, column} = location?.start ?? {line: 0, column: 0};
    throw new Error(`${file}:${line}:${column}: ${message}`, {cause: error});
  }
}

/** Returns the statements of one kind. */
function getStatements<K extends ScenarioStatement['kind']>(
  statements: readonly ScenarioStatement[],
  kind: K,
): StatementOf<K>[] {
  return statements.filter(one => one.kind === kind) as StatementOf<K>[];
}

/** Creates the harness that the set-up lines describe. */
function createHarness(
  statements: readonly ScenarioStatement[],
  seed: number,
): ScenarioHarness {
  const [deployment] = getStatements(statements, 'deployment');
  const base = deployments[deployment?.name ?? 'aerolith'];
  const [vms] = getStatements(statements, 'vms');
  const [engines] = getStatements(statements, 'engines');
  const plan: DeploymentPlan = {
    ...base,
    vmsPerZone: vms?.count ?? base.vmsPerZone,
    enginesPerZone: engines?.generations ?? base.enginesPerZone,
  };
  const options = getStatements(statements, 'option').map(one => [
    one.name,
    one.value,
  ]);
  const scheduler = Object.fromEntries(options) as object;
  return new ScenarioHarness({plan, seed, scheduler});
}

const comparisons: Record<string, (found: number, value: number) => boolean> = {
  '>=': (found, value) => found >= value,
  '<=': (found, value) => found <= value,
  '=': (found, value) => found === value,
};

/** Checks one expectation. */
function checkExpectation(
  harness: ScenarioHarness,
  expectation: StatementOf<'expect'>,
): CheckedExpectation {
  const {line, metric, qualifiers, operator, value} = expectation;
  const computeMetric = metrics[metric];
  if (computeMetric === undefined) {
    const known = Object.keys(metrics).join(', ');
    throw new Error(`line ${line}: no metric "${metric}"; known: ${known}`);
  }
  const actual = computeMetric(harness, qualifiers);
  const narrowed = Object.entries(qualifiers).flat().join(' ');
  const text = [metric, narrowed, operator, value].filter(Boolean).join(' ');
  return {line, text, actual, isMet: comparisons[operator](actual, value)};
}

/** Runs one scenario in virtual time. */
export function runScenario(
  text: string,
  file: string,
  seed: number,
): ScenarioResult {
  const statements = parseScenario(text, file);
  const harness = createHarness(statements, seed);
  const {events, callers} = harness;
  for (const load of getStatements(statements, 'load')) {
    const usual = harness.findCallKind(load.call);
    const kind = {...usual, deadlineMs: load.deadlineMs ?? usual.deadlineMs};
    const {isRetrying, marksAttempts, zone} = load;
    events.schedule(load.fromMs, () =>
      callers.startLoad(kind, load.rate, load.toMs, {
        isRetrying,
        marksAttempts,
        zone,
      }),
    );
  }
  for (const {atMs, action} of getStatements(statements, 'fault')) {
    const handleAction = actionHandlers[action.verb];
    events.schedule(atMs, () => handleAction(harness, action));
  }
  const [run] = getStatements(statements, 'run');
  harness.runUntil(run?.durationMs ?? 10_000);
  const expectations = getStatements(statements, 'expect').map(one =>
    checkExpectation(harness, one),
  );
  const [title] = getStatements(statements, 'title');
  return {title: title?.text ?? file, seed, expectations, harness};
}
