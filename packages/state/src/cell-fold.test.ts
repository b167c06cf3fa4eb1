/** Laws of the cell's fold over any order, repetition and delay of appends. */

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
  always,
  applyTo,
  asIs,
  holdsOnlyWith,
  logOf,
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

/** What a writer means to do, before it is known at which version and epoch the others are. */
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

/** By how much what the writer knows is older than the log. */
const lag = fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat(2) });

function recordOf([meant, behind]: readonly [Intent, number], fold: CellFold): CellRecord {
  if (meant.kind === 'change') {
    const base = brandAs<Version>(Math.max(0, fold.configuration.version - behind));
    return { ...meant, base };
  }
  const current = fold.epochOf(meant.shard) - behind;
  const epoch = brandAs<Epoch>(Math.max(0, meant.kind === 'inherit' ? current + 1 : current));
  return { ...meant, epoch };
}

const log = logOf<CellRecord, CellFold, readonly [Intent, number]>(
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

/** As if the fold compared no versions. */
const withoutBase: CellRewrite = (stamped, fold) =>
  stamped.record.kind === 'change'
    ? [{ ...stamped, record: { ...stamped.record, base: fold.configuration.version } }]
    : [stamped];

/** As if the fold compared no epochs. */
const withoutEpochs: CellRewrite = (stamped, fold) => {
  const { record } = stamped;
  if (record.kind !== 'take' && record.kind !== 'give_back') {
    return [stamped];
  }
  return [{ ...stamped, record: { ...record, epoch: fold.epochOf(record.shard) } }];
};

/** As if the fold compared no takes with limits. */
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
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const limits = new Map<TeamId, Resources>();
      const sums = new Map<TeamId, Resources>();
      return always(new CellFold(), all, rewrite, ({ record, effect, fold }) => {
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
  holdsOnlyWith(t, law, asIs, withoutLimits);
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
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) =>
      always(new CellFold(), all, rewrite, ({ fold }) =>
        fold
          .snapshot()
          .holdings.every(([, held]) => held.every(([, each]) => fits(NO_RESOURCES, each))),
      ),
    );
  holdsOnlyWith(t, law, asIs, withoutHoldings);
});

/** As if the fold compared nothing that is given back with what is held. */
const withoutHoldings: CellRewrite = (stamped, fold) => {
  const { record } = stamped;
  if (record.kind === 'give_back') {
    const held = fold.holdingsOf(record.shard) as Map<TeamId, Resources>;
    held.set(record.team, subtract(held.get(record.team) ?? NO_RESOURCES, record.amount));
  }
  return [stamped];
};

test('only the owner that inherited last takes and gives back', (t) => {
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const epochs = new Map<ShardId, Epoch>();
      return always(new CellFold(), all, rewrite, ({ record, effect }) => {
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
  holdsOnlyWith(t, law, asIs, withoutEpochs);
});

test('versions rise by one, and each change is applied to the version it is based on', (t) => {
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      let version = 0;
      return always(new CellFold(), all, rewrite, ({ record, effect, fold }) => {
        const isApplied = record.kind === 'change' && effect.kind === 'applied';
        const isOnBase = !isApplied || record.base === version;
        version += isApplied ? 1 : 0;
        return isOnBase && fold.configuration.version === version;
      });
    });
  holdsOnlyWith(t, law, asIs, withoutBase);
});

test('a withdrawn key stays withdrawn', (t) => {
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ all }) => {
      const withdrawn = new Set<KeyId>();
      return always(new CellFold(), all, rewrite, ({ fold }) => {
        for (const { id, withdrawn: isWithdrawn } of fold.configuration.keys.values()) {
          if (isWithdrawn) {
            withdrawn.add(id);
          }
        }
        return [...withdrawn].every((id) => fold.configuration.keys.get(id)?.withdrawn === true);
      });
    });
  holdsOnlyWith(t, law, asIs, withoutWithdrawals);
});

/** As if the configuration forgot that a key was withdrawn. */
const withoutWithdrawals: CellRewrite = (stamped, fold) => {
  const keys = fold.configuration.keys as Map<KeyId, Key>;
  for (const [id, known] of keys) {
    keys.set(id, { ...known, withdrawn: false });
  }
  return [stamped];
};

test('a repeated append has no second effect, however late', (t) => {
  const law = (rewrite: CellRewrite) =>
    fc.property(log, ({ once, all }) => {
      const one = new CellFold();
      const other = new CellFold();
      applyTo(one, once, rewrite);
      applyTo(other, all, rewrite);
      const bare = (fold: CellFold) => JSON.stringify({ ...fold.snapshot(), upTo: 0, writers: [] });
      return bare(one) === bare(other);
    });
  holdsOnlyWith(t, law, asIs, withoutSequences);
});

test('readers from any snapshot and from the beginning agree on state and on every version', (t) => {
  const law = (damage: (snapshot: CellSnapshot) => CellSnapshot) =>
    fc.property(log, fc.nat(65), ({ all }, cut) => {
      const whole = new CellFold();
      const first = new CellFold();
      const versions = new Map<Version, string>();
      for (const { fold } of applyTo(whole, all.slice(0, cut), asIs)) {
        versions.set(fold.configuration.version, contentOf(fold));
      }
      applyTo(first, all.slice(0, cut), asIs);
      const text = JSON.stringify(damage(first.snapshot()));
      const restored = CellFold.restore(JSON.parse(text) as CellSnapshot);
      return all.slice(cut).every((stamped, index) => {
        applyTo(whole, [stamped], asIs, cut + index);
        applyTo(restored, [stamped], asIs, cut + index);
        const version = whole.configuration.version;
        const known = versions.get(version) ?? contentOf(whole);
        versions.set(version, known);
        return known === contentOf(restored) && textOf(whole) === textOf(restored);
      });
    });
  holdsOnlyWith<(snapshot: CellSnapshot) => CellSnapshot>(
    t,
    law,
    (snapshot) => snapshot,
    (snapshot) => ({ ...snapshot, writers: [] }),
    (snapshot) => ({ ...snapshot, version: brandAs<Version>(0) }),
    (snapshot) => ({ ...snapshot, keys: [] }),
    (snapshot) => ({ ...snapshot, holdings: [] }),
    (snapshot) => ({ ...snapshot, epochs: [] }),
  );
});
