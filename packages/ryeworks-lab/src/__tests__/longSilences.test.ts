import t from 'tap';
import {findScenarios} from '../scenarios/findScenarios.js';
import {runScenario} from '../scenarios/runScenario.js';

const [{name, text}] = findScenarios('endpoint-falls-silent');
/** The scenario with silences as long as they get, and a little less load. */
const longText = text
  .replaceAll('for 1s', 'for 1500ms')
  .replace('80 per second', '60 per second')
  .replace('40 per second', '30 per second');

for (const seed of [12, 15, 17, 21]) {
  // Guards against a silent call that is canceled while the call beside it is
  // silent, too: if that one is refused in the end, nobody has the answer.
  t.test(`sound endpoints that are silent for 1.5 s, seed ${seed}`, async t => {
    t.notSame(longText, text);
    const {expectations} = runScenario(longText, name, seed);
    for (const {actual, isMet, text: expected} of expectations) {
      t.ok(isMet, `${expected}, got ${actual}`);
    }
  });
}
