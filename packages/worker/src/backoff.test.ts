import test from 'ava';
import { Backoff } from './backoff.js';

test('delays grow up to a maximum, are spread over their whole range and start over after a reset', (t) => {
  const almostOne = new Backoff(() => 1);
  const waits = Array.from({ length: 8 }, () => almostOne.nextMillis());
  t.deepEqual(waits, [100, 200, 400, 800, 1600, 3200, 5000, 5000]);
  almostOne.reset();
  t.is(almostOne.nextMillis(), 100);
  t.is(new Backoff(() => 0).nextMillis(), 0);
});
