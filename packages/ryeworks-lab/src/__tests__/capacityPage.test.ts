import t from 'tap';
import {readCapacityPage} from '../measure/capacity/capacityPage.js';

t.test('docs/CAPACITY.md is up to date with its figures', async t => {
  const {current, generated} = readCapacityPage();
  t.equal(current, generated, 'run "npm run measure -- capacity-page"');
});
