import test from 'ava';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { WallInstant } from '@bamboowell/types/job';
import { TokenBuckets } from './token-buckets.js';

const TEAM = brandAs<TeamId>('aero');

function at(millis: number): WallInstant {
  return brandAs<WallInstant>(millis);
}

test('jobs beyond the promised rate get no token, and tokens refill with time', (t) => {
  const buckets = new TokenBuckets();
  const taken = Array.from({ length: 8 }, () => buckets.take(TEAM, 3, at(0)));
  t.is(taken.filter(Boolean).length, 6);
  t.false(buckets.take(TEAM, 3, at(100)));
  t.true(buckets.take(TEAM, 3, at(400)));
});

test('a team within its promised rate always gets a token', (t) => {
  const buckets = new TokenBuckets();
  for (let second = 0; second < 20; second += 1) {
    for (let job = 0; job < 3; job += 1) {
      t.true(buckets.take(TEAM, 3, at(second * 1000 + job * 10)));
    }
  }
});

test('a clock that goes back removes no tokens', (t) => {
  const buckets = new TokenBuckets();
  t.true(buckets.take(TEAM, 1, at(5000)));
  t.true(buckets.take(TEAM, 1, at(1000)));
});
