import test from 'ava';
import { atOnce, byProof, runSuccessionModel, whileConnected } from './succession-model.fixture.js';

/**
 * With 450, which finds an owner of which only its predecessor was a witness, and 198, which finds one that
 * dismisses a member while its record lists it.
 */
const SEEDS = [...Array.from({ length: 150 }, (_, index) => index + 1), 198, 450];

// Guards against an owner that renews leases after its successor has counted them as ended.
test('no owner renews leases once a later one counts on that it does not', (t) => {
  const runs = SEEDS.map((seed) => runSuccessionModel(seed, byProof));
  t.deepEqual(
    runs.flatMap(({ violations }, index) =>
      violations.slice(0, 1).map((text) => [SEEDS[index], text]),
    ),
    [],
  );
  // A model in which nobody takes over, or renews without the store, would violate nothing.
  t.true(runs.filter(({ takeovers }) => takeovers > 2).length > SEEDS.length / 2);
  t.true(runs.filter(({ listedTakeovers }) => listedTakeovers > 0).length > SEEDS.length / 4);
  t.true(runs.filter(({ offlineSteps }) => offlineSteps > 0).length > SEEDS.length / 4);
});

test('the model finds an owner that renews leases while any member is connected to it', (t) => {
  const runs = SEEDS.map((seed) => runSuccessionModel(seed, whileConnected));
  t.true(runs.some(({ violations }) => violations.length > 0));
});

// Guards against a next process of a member that counts on a record, though the owner no longer asks that member.
test('the model finds an owner that dismisses a member which its stored record still lists', (t) => {
  const runs = SEEDS.map((seed) => runSuccessionModel(seed, byProof, atOnce));
  t.true(runs.some(({ violations }) => violations.length > 0));
});
