import t from 'tap';
import {readCapacityPage} from '../measure/capacity/capacityPage.js';

t.test('docs/CAPACITY.md says what its figures say', async t => {
  const {current, generated} = readCapacityPage();
  t.equal(current, generated, 'run "npm run measure -- capacity-page"');
});
