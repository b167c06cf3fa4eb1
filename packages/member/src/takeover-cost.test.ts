import test from 'ava';
import { takeoverMillisOf } from './takeover-cost.js';

test('a slow link and a slow processor each make a takeover longer', (t) => {
  const strong = takeoverMillisOf({ cores: 0.7, memoryMib: 600, linkMbps: 100 });
  const slowLink = takeoverMillisOf({ cores: 0.7, memoryMib: 600, linkMbps: 10 });
  const slowProcessor = takeoverMillisOf({ cores: 0.1, memoryMib: 600, linkMbps: 100 });
  t.true(strong < 200, `${strong} ms`);
  t.true(slowLink - strong > 500, `${slowLink} ms against ${strong} ms`);
  t.true(slowProcessor - strong > 200, `${slowProcessor} ms against ${strong} ms`);
});
