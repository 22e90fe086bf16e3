import t from 'tap';
import {findScenarios} from '../scenarios/findScenarios.js';
import {parseScenario, runScenario} from '../scenarios/runScenario.js';

const seeds = [1, 2, 3];

for (const {name, text} of findScenarios()) {
  for (const seed of seeds) {
    t.test(`${name}, seed ${seed}`, async t => {
      const result = runScenario(text, `${name}.scenario`, seed);
      for (const {line, text: expected, actual, isMet} of result.expectations) {
        t.ok(isMet, `line ${line}: ${expected}, got ${actual}`);
      }
    });
  }
}

t.test('the same seed gives the same run', async t => {
  const [{text}] = findScenarios('vm-killed');
  const [first, second] = [7, 7].map(seed => {
    const {ledger} = runScenario(text, 'vm-killed', seed).harness!;
    return JSON.stringify(ledger.dispatches);
  });
  t.equal(first, second);
});

t.test(
  'a syntax error in a scenario names the file, line and column',
  async t => {
    t.throws(() => parseScenario('run 5s\nat 3s burn vm a\n', 'x.scenario'), {
      message: /^x\.scenario:2:7: /,
    });
  },
);
