/** Properties of `CellFold` that hold for any order, repetition and delay of appends. */

import test from 'ava';
import fc from 'fast-check';
import type { Change, Key } from '@bamboowell/types/declarations';
import {
  brandAs,
  type Epoch,
  type KeyId,
  type QueueId,
  type ShardId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import type { CellRecord } from '@bamboowell/types/records';
import { add, fits, NO_RESOURCES, subtract, type Resources } from '@bamboowell/types/resources';
import { CellFold, type CellSnapshot } from './cell-fold.js';
import {
  holdsAfterEach,
  applyAll,
  unchanged,
  assertHoldsOnlyFor,
  logArbitrary,
  withoutSequences,
  type Rewrite,
} from './fold.fixture.js';

type CellRewrite = Rewrite<CellRecord, CellFold>;

function slots(count: number): Resources {
  return { ...NO_RESOURCES, slots: count };
}

const team = fc.constantFrom('a', 'b').map((id) => brandAs<TeamId>(id));
const shard = fc.constantFrom('x', 'y').map((id) => brandAs<ShardId>(id));
const key = fc.constantFrom('k', 'l').map((id) => brandAs<KeyId>(id));
const amount = fc.nat(4).map(slots);

const change: fc.Arbitrary<Change> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.tuple(team, fc.nat(8)).map(([id, limit]) => ({
      kind: 'put_team' as const,
      team: { id, share: 1, limit: slots(limit) },
    })),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove_team' as const), id: team }) },
  {
    weight: 1,
    arbitrary: fc.tuple(team, fc.nat(3)).map(([id, maxWaiting]) => ({
      kind: 'put_queue' as const,
      queue: {
        id: brandAs<QueueId>('q'),
        access: { kind: 'open' as const, team: id },
        maxWaiting,
      },
    })),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(key, team, fc.boolean()).map(([id, of, withdrawn]) => ({
      kind: 'put_key' as const,
      key: { id, team: of, secretHash: 'hash', withdrawn },
    })),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('withdraw_key' as const), id: key }) },
);

/** What a writer intends to do; `recordOf` adds the version or epoch from the state of the log. */
type Intent =
  | { readonly kind: 'change'; readonly changes: readonly Change[] }
  | { readonly kind: 'inherit'; readonly shard: ShardId }
  | {
      readonly kind: 'take' | 'give_back';
      readonly shard: ShardId;
      readonly team: TeamId;
      readonly amount: Resources;
    };

const holding = { shard, team, amount };

const intent: fc.Arbitrary<Intent> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('change' as const),
      changes: fc.array(change, { minLength: 1, maxLength: 3 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('inherit' as const), shard }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('take' as const), ...holding }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('give_back' as const), ...holding }) },
);

/** How many versions or epochs the writer is behind the log in what it knows. */
const lag = fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat(2) });

function recordOf([intended, behind]: readonly [Intent, number], fold: CellFold): CellRecord {
  if (intended.kind === 'change') {
    const base = brandAs<Version>(Math.max(0, fold.configuration.version - behind));
    return { ...intended, base };
  }
  const current = fold.epochOf(intended.shard) - behind;
  const epoch = brandAs<Epoch>(Math.max(0, intended.kind === 'inherit' ? current + 1 : current));
  return { ...intended, epoch };
}

const log = logArbitrary<CellRecord, CellFold, readonly [Intent, number]>(
  fc.tuple(intent, lag),
  () => new CellFold(),
  recordOf,
);

function textOf(fold: CellFold): string {
  return JSON.stringify({ ...fold.snapshot(), upTo: 0 });
}

/** The configuration as text. */
function contentOf(fold: CellFold): string {
  const { version, teams, queues, keys, dataCentres } = fold.snapshot();
  return JSON.stringify({ version, teams, queues, keys, dataCentres });
}

/** Simulates a fold that does not compare versions. */
const withoutBase: CellRewrite = (stamped, fold) =>
  stamped.record.kind === 'change'
    ? [{ ...stamped, record: { ...stamped.record, base: fold.configuration.version } }]
    : [stamped];

/** Simulates a fold that does not compare epochs. */
const withoutEpochs: CellRewrite = (stamped, fold) => {
  const { record } = stamped;
  if (record.kind !== 'take' && record.kind !== 'give_back') {
    return [stamped];
  }
  return [{ ...stamped, record: { ...record, epoch: fold.epochOf(record.shard) } }];
};

/** Simulates a fold that does not enforce the teams' limits. */
const withoutLimits: CellRewrite = (stamped) => {
  const { record } = stamped;
  if (record.kind !== 'change') {
    return [stamped];
  }
  const changes = record.changes.map((each) =>
    each.kind === 'put_team' ? { ...each, team: { ...each.team, limit: slots(1000) } } : each,
  );
  return [{ ...stamped, record: { ...record, changes } }];
};

test('no take passes the limit in force', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const limits = new Map<TeamId, Resources>();
      const sums = new Map<TeamId, Resources>();
      return holdsAfterEach(new CellFold(), all, rewrite, ({ record, effect, fold }) => {
        if (effect.kind !== 'applied') {
          return true;
        }
        if (record.kind === 'change') {
          setLimits(limits, record.changes);
        }
        if (record.kind !== 'take' && record.kind !== 'give_back') {
          return true;
        }
        const before = sums.get(record.team) ?? NO_RESOURCES;
        const after =
          record.kind === 'take' ? add(before, record.amount) : subtract(before, record.amount);
        sums.set(record.team, after);
        const isWithin =
          record.kind !== 'take' || fits(after, limits.get(record.team) ?? NO_RESOURCES);
        return isWithin && isSame(fold.totalHeldOf(record.team), after);
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutLimits);
});

function setLimits(limits: Map<TeamId, Resources>, changes: readonly Change[]): void {
  for (const each of changes) {
    if (each.kind === 'put_team') {
      limits.set(each.team.id, each.team.limit);
    }
    if (each.kind === 'remove_team') {
      limits.delete(each.id);
    }
  }
}

function isSame(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

test('a shard never gives back more than it holds', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) =>
      holdsAfterEach(new CellFold(), all, rewrite, ({ fold }) =>
        fold
          .snapshot()
          .holdings.every(([, held]) => held.every(([, each]) => fits(NO_RESOURCES, each))),
      ),
    );
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutHoldings);
});

/** Simulates a fold that does not check that a shard holds what it gives back. */
const withoutHoldings: CellRewrite = (stamped, fold) => {
  const { record } = stamped;
  if (record.kind === 'give_back') {
    const held = fold.holdingsOf(record.shard) as Map<TeamId, Resources>;
    held.set(record.team, subtract(held.get(record.team) ?? NO_RESOURCES, record.amount));
  }
  return [stamped];
};

test('only the owner that inherited last takes and gives back', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const epochs = new Map<ShardId, Epoch>();
      return holdsAfterEach(new CellFold(), all, rewrite, ({ record, effect }) => {
        if (effect.kind !== 'applied' || record.kind === 'change' || record.kind === 'checkpoint') {
          return true;
        }
        const current = epochs.get(record.shard) ?? 0;
        if (record.kind !== 'inherit') {
          return record.epoch === current;
        }
        epochs.set(record.shard, record.epoch);
        return record.epoch > current;
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutEpochs);
});

test('versions rise by one, and each change is applied to the version it is based on', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      let version = 0;
      return holdsAfterEach(new CellFold(), all, rewrite, ({ record, effect, fold }) => {
        const isApplied = record.kind === 'change' && effect.kind === 'applied';
        const isOnBase = !isApplied || record.base === version;
        version += isApplied ? 1 : 0;
        return isOnBase && fold.configuration.version === version;
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutBase);
});

test('a withdrawn key stays withdrawn', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const withdrawn = new Set<KeyId>();
      return holdsAfterEach(new CellFold(), all, rewrite, ({ fold }) => {
        for (const { id, withdrawn: isWithdrawn } of fold.configuration.keys.values()) {
          if (isWithdrawn) {
            withdrawn.add(id);
          }
        }
        return [...withdrawn].every((id) => fold.configuration.keys.get(id)?.withdrawn === true);
      });
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutWithdrawals);
});

/** Simulates a configuration that forgets that a key was withdrawn. */
const withoutWithdrawals: CellRewrite = (stamped, fold) => {
  const keys = fold.configuration.keys as Map<KeyId, Key>;
  for (const [id, known] of keys) {
    keys.set(id, { ...known, withdrawn: false });
  }
  return [stamped];
};

test('a repeated append has no second effect, however late', (t) => {
  const propertyFor = (rewrite: CellRewrite) =>
    fc.property(log, ({ once, all }) => {
      const one = new CellFold();
      const other = new CellFold();
      applyAll(one, once, rewrite);
      applyAll(other, all, rewrite);
      const stateText = (fold: CellFold) =>
        JSON.stringify({ ...fold.snapshot(), upTo: 0, writers: [] });
      return stateText(one) === stateText(other);
    });
  assertHoldsOnlyFor(t, propertyFor, unchanged, withoutSequences);
});

test('readers from any snapshot and from the beginning agree on state and on every version', (t) => {
  const propertyFor = (damage: (snapshot: CellSnapshot) => CellSnapshot) =>
    fc.property(log, fc.nat(65), ({ all }, cut) => {
      const whole = new CellFold();
      const first = new CellFold();
      const versions = new Map<Version, string>();
      for (const { fold } of applyAll(whole, all.slice(0, cut), unchanged)) {
        versions.set(fold.configuration.version, contentOf(fold));
      }
      applyAll(first, all.slice(0, cut), unchanged);
      const text = JSON.stringify(damage(first.snapshot()));
      const restored = CellFold.restore(JSON.parse(text) as CellSnapshot);
      return all.slice(cut).every((stamped, index) => {
        applyAll(whole, [stamped], unchanged, cut + index);
        applyAll(restored, [stamped], unchanged, cut + index);
        const version = whole.configuration.version;
        const known = versions.get(version) ?? contentOf(whole);
        versions.set(version, known);
        return known === contentOf(restored) && textOf(whole) === textOf(restored);
      });
    });
  assertHoldsOnlyFor<(snapshot: CellSnapshot) => CellSnapshot>(
    t,
    propertyFor,
    (snapshot) => snapshot,
    (snapshot) => ({ ...snapshot, writers: [] }),
    (snapshot) => ({ ...snapshot, version: brandAs<Version>(0) }),
    (snapshot) => ({ ...snapshot, keys: [] }),
    (snapshot) => ({ ...snapshot, holdings: [] }),
    (snapshot) => ({ ...snapshot, epochs: [] }),
  );
});
