import test from 'ava';
import { takeoverMillisOf } from './takeover-cost.js';

test('a thin link and a weak processor each make a takeover longer', (t) => {
  const strong = takeoverMillisOf({ cores: 0.7, memoryMib: 600, linkMbps: 100 });
  const thin = takeoverMillisOf({ cores: 0.7, memoryMib: 600, linkMbps: 10 });
  const slow = takeoverMillisOf({ cores: 0.1, memoryMib: 600, linkMbps: 100 });
  t.true(strong < 200, `${strong} ms`);
  t.true(thin - strong > 500, `${thin} ms against ${strong} ms`);
  t.true(slow - strong > 200, `${slow} ms against ${strong} ms`);
});
