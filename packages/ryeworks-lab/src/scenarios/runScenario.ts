import {
  aerolithPlan,
  DeploymentPlan,
  desatorosPlan,
} from '../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {actionHandlers} from './actions.js';
import {parse} from './gen/scenarioParser.js';
import {metrics} from './metrics.js';
import {fleetMetrics, runFleet} from './runFleetScenario.js';
import {
  getStatements,
  MetricQualifiers,
  ScenarioStatement,
  StatementOf,
} from './scenarioStatements.js';

const deployments: Readonly<Record<string, DeploymentPlan>> = {
  aerolith: aerolithPlan,
  desatoros: desatorosPlan,
};

/** An expectation and the actual value of its metric. */
export interface CheckedExpectation {
  readonly line: number;
  readonly text: string;
  readonly actual: number;
  readonly isMet: boolean;
}

/** Result of one run of a scenario. */
export interface ScenarioResult {
  readonly title: string;
  readonly seed: number;
  readonly expectations: readonly CheckedExpectation[];
  /** Undefined if the scenario ran on a fleet of dispatch cores. */
  readonly harness: ScenarioHarness | undefined;
}

/** Parses a scenario. Errors name the file, line and column. */
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

/** Creates the harness that the set-up statements describe. */
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
  const options = getStatements(statements, 'option').map(option => [
    option.name,
    option.value,
  ]);
  const scheduler = Object.fromEntries(options) as object;
  return new ScenarioHarness({plan, seed, scheduler});
}

const comparisons: Record<string, (actual: number, value: number) => boolean> =
  {
    '>=': (actual, value) => actual >= value,
    '<=': (actual, value) => actual <= value,
    '=': (actual, value) => actual === value,
  };

/** A run that has ended: the metrics it can be asked for. */
interface FinishedRun {
  /** Undefined for a run on a fleet of dispatch cores. */
  readonly harness: ScenarioHarness | undefined;
  readonly metricNames: readonly string[];
  /** Computes a metric; undefined if there is none of that name. */
  computeMetric(name: string, qualifiers: MetricQualifiers): number | undefined;
}

/** Checks one expectation against a finished run. */
function checkExpectation(
  {computeMetric, metricNames}: FinishedRun,
  expectation: StatementOf<'expect'>,
): CheckedExpectation {
  const {line, metric, qualifiers, operator, value} = expectation;
  const actual = computeMetric(metric, qualifiers);
  if (actual === undefined) {
    throw new Error(
      `line ${line}: unknown metric "${metric}"; known metrics: ${metricNames.join(', ')}`,
    );
  }
  const qualifierText = Object.entries(qualifiers).flat().join(' ');
  const text = [metric, qualifierText, operator, value]
    .filter(part => part !== '')
    .join(' ');
  return {line, text, actual, isMet: comparisons[operator](actual, value)};
}

/** Runs a scenario on schedulers with fakes of everything else. */
function runHarness(
  statements: readonly ScenarioStatement[],
  runMs: number,
  seed: number,
): FinishedRun {
  const harness = createHarness(statements, seed);
  const {events, callers} = harness;
  for (const load of getStatements(statements, 'load')) {
    const defaultKind = harness.findCallKind(load.call);
    const kind = {
      ...defaultKind,
      deadlineMs: load.deadlineMs ?? defaultKind.deadlineMs,
    };
    const {isRetrying, marksAttempts, zone} = load;
    events.schedule(load.fromMs, () =>
      callers.startLoad(kind, load.rate, load.toMs, {
        isRetrying,
        marksAttempts,
        zone,
      }),
    );
  }
  for (const {atMs, action, line} of getStatements(statements, 'fault')) {
    const handleAction = actionHandlers[action.verb];
    if (handleAction === undefined) {
      throw new Error(`line ${line}: possible with a fleet only`);
    }
    events.schedule(atMs, () => handleAction(harness, action));
  }
  harness.runUntil(runMs);
  return {
    harness,
    metricNames: Object.keys(metrics),
    computeMetric: (name, qualifiers) => metrics[name]?.(harness, qualifiers),
  };
}

/** Runs a scenario on a fleet of dispatch cores. */
function runOnFleet(
  statements: readonly ScenarioStatement[],
  size: StatementOf<'fleet'>,
  runMs: number,
  seed: number,
): FinishedRun {
  const fleet = runFleet(statements, size, runMs, seed);
  return {
    harness: undefined,
    metricNames: Object.keys(fleetMetrics),
    computeMetric: (name, qualifiers) =>
      fleetMetrics[name]?.(fleet, qualifiers),
  };
}

/** Runs a scenario in virtual time and checks its expectations. */
export function runScenario(
  text: string,
  file: string,
  seed: number,
): ScenarioResult {
  const statements = parseScenario(text, file);
  const [run] = getStatements(statements, 'run');
  const runMs = run?.durationMs ?? 10_000;
  const [fleet] = getStatements(statements, 'fleet');
  const finished =
    fleet === undefined
      ? runHarness(statements, runMs, seed)
      : runOnFleet(statements, fleet, runMs, seed);
  const expectations = getStatements(statements, 'expect').map(statement =>
    checkExpectation(finished, statement),
  );
  const [title] = getStatements(statements, 'title');
  const {harness} = finished;
  return {title: title?.text ?? file, seed, expectations, harness};
}
