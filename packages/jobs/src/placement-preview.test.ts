import test from 'ava';
import { brandAs, type DataCentreId, type QueueId, type TeamId } from '@bamboowell/types/ids';
import { stepIdOf, type AdviceTiming, type JobPlan, type StepPlan } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING } from '@bamboowell/types/scheduling';
import { NEVER, type Deadline } from '@bamboowell/types/time';
import { hardLoad, teamNamed } from './hard-load.fixture.js';
import type { PassedOverReason, PlacementPreview } from './placement-preview.js';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness, type HarnessOptions } from './scheduler.fixture.js';

const ADVICE: AdviceTiming = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
const W1 = workerRegistration('w1');
const W2 = workerRegistration('w2');
const W3 = workerRegistration('w3');

function previewBench(options: HarnessOptions = {}) {
  const harness = schedulerHarness({ workers: [W1, W2], ...options });
  harness.reportFromAll();
  harness.place();
  return {
    ...harness,
    /** Submits a job with one step, places it and lets it start. */
    run: (number: number, step: Partial<StepPlan> = {}) => {
      harness.submit(planOf(number, step));
      harness.commit();
      const starts = harness.place();
      starts.forEach((start) => {
        harness.answerStart(start);
      });
      return starts;
    },
  };
}

function planOf(number: number, step: Partial<StepPlan> = {}): JobPlan {
  return jobPlan(number, { steps: [stepPlan(step)] });
}

function reasonsOf({ placement }: PlacementPreview): Record<string, PassedOverReason> {
  return Object.fromEntries(
    (placement?.passedOver ?? []).map(({ worker, reason }) => [worker, reason]),
  );
}

test('a job goes where placement then starts it, and nothing is stored or sent for the preview', (t) => {
  const bench = previewBench();
  bench.run(1, { demand: cores(3) });
  const written = bench.store.size;
  const outputs = bench.outputs.length;
  const preview = bench.preview(planOf(2, { count: 2 }));
  t.deepEqual(
    bench.outputs.slice(outputs).map(({ kind }) => kind),
    ['answer'],
  );
  bench.commit();
  t.is(bench.store.size, written);
  t.deepEqual(preview.admission, { kind: 'admitted', isExcess: false });
  t.is(preview.placement?.waitsFor, undefined);
  t.is(preview.placement?.stepsBefore, 0);
  const places = bench.run(2, { count: 2 }).map(({ incarnation }) => incarnation);
  const previewed = preview.placement?.starts.flatMap(({ worker, tasks }) =>
    Array.from({ length: tasks }, () => (worker === W1.id ? W1 : W2).incarnation),
  );
  t.deepEqual(previewed, places);
});

test('workers that can get no work are passed over with what closes them', (t) => {
  const workers = [
    workerRegistration('fit'),
    workerRegistration('foreign', { service: 'other' }),
    workerRegistration('unlabelled', { labels: [] }),
    workerRegistration('small', { capacity: cores(1) }),
    workerRegistration('east', { zone: 'east' }),
    workerRegistration('drained', { isDraining: true }),
    workerRegistration('away'),
    workerRegistration('gone'),
  ];
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  harness.send({ kind: 'worker', registration: workerRegistration('silent') });
  harness.send({
    kind: 'evacuations',
    zones: [brandAs<DataCentreId>('east')],
    currentUntil: NEVER,
  });
  const lapsesAt = brandAs<Deadline>(harness.now() + 9000);
  const { incarnation } = workerRegistration('away');
  harness.send({ kind: 'unreachable', incarnation, lapsesAt });
  harness.send({ kind: 'worker_gone', worker: workerRegistration('gone').id });
  harness.advance(2500);
  harness.place();
  const preview = harness.preview(planOf(1, { demand: cores(2), neededLabel: 'a' }));
  t.deepEqual(
    preview.placement?.starts.map(({ worker }) => worker),
    [workerRegistration('fit').id],
  );
  t.deepEqual(reasonsOf(preview), {
    foreign: 'other_service',
    unlabelled: 'no_label',
    small: 'too_small',
    east: 'evacuated',
    drained: 'draining',
    away: 'unreachable',
    gone: 'not_registered',
    silent: 'not_reported',
  });
});

test('workers without room, in cool-down, or not needed are passed over', (t) => {
  const bench = previewBench({ workers: [W1, W2, W3] });
  bench.run(1, { demand: cores(4) });
  bench.submit(planOf(2, { demand: cores(4) }));
  bench.commit();
  bench.place().forEach((start) => {
    bench.answerStart(start, { kind: 'unwell' });
  });
  bench.cancel(jobId(2));
  bench.commit();
  t.deepEqual(reasonsOf(bench.preview(planOf(3))), { w1: 'no_room', w2: 'cooldown' });
  t.deepEqual(bench.preview(planOf(3, { count: 5 })).placement?.waitsFor, 'no_room');
  bench.advance(60_000);
  t.deepEqual(reasonsOf(bench.preview(planOf(3))), { w1: 'no_room', w3: 'not_needed' });
});

test('a worker in quarantine is passed over, but not for lasting work that has room nowhere else', (t) => {
  const bench = previewBench({ workers: [workerRegistration('ill', { labels: ['b'] }), W1, W2] });
  const failing = [1, 2, 3].flatMap((number) => bench.run(number, { neededLabel: 'b' }));
  const sound = bench.run(4, { neededLabel: 'a' });
  for (const start of failing) {
    bench.end(start, 'failed');
    sound.splice(0).forEach((other) => {
      bench.end(other, 'done');
    });
  }
  const preview = bench.preview(planOf(9, { neededLabel: 'b' }));
  t.is(reasonsOf(preview).ill, 'quarantine');
  t.deepEqual(preview.placement?.starts, []);
  bench.advance(2500);
  const lasting = bench.preview(planOf(9, { neededLabel: 'b', isLasting: true }));
  t.deepEqual(
    lasting.placement?.starts.map(({ worker }) => String(worker)),
    ['ill'],
  );
});

test('a job that was taken before is shown with its present state and the tasks of its step on workers', (t) => {
  const bench = previewBench();
  bench.run(1, { count: 3, maxPerWorker: 1 });
  const preview = bench.preview(planOf(1));
  t.deepEqual(preview.admission, { kind: 'taken_before', isExcess: false });
  t.is(preview.placement?.waitingTasks, 1);
  t.deepEqual(reasonsOf(preview), { w1: 'step_limit', w2: 'step_limit' });
});

test('room that is kept for a gang before the job is named with the gang', (t) => {
  const bench = previewBench({ workers: [W1, W2, W3] });
  bench.run(1, { demand: cores(3), estimateMillis: 2000, count: 3 });
  bench.submit(planOf(2, { count: 6, isGang: true, demand: cores(2), estimateMillis: 1 }));
  bench.commit();
  bench.place();
  const { placement } = bench.preview(planOf(3, { estimateMillis: 60_000, count: 3 }));
  t.is(placement?.stepsBefore, 1);
  const kept = placement?.passedOver.filter(({ reason }) => reason === 'kept_for_gang') ?? [];
  t.true(kept.length > 0);
  t.true(kept.every(({ keptFor }) => keptFor === stepIdOf(jobId(2), 0, 0)));
});

test('a preview asks for no advice and says where the job would go with it', (t) => {
  const queues = [jobQueue({ advice: ADVICE })];
  const bench = previewBench({ configuration: configurationOf(queues) });
  bench.addMember('m1');
  const { placement } = bench.preview(planOf(1));
  t.deepEqual(bench.of('ask_advice'), []);
  t.is(placement?.advice, 'not_requested');
  t.is(placement?.waitsFor, 'advice');
  t.deepEqual(placement?.starts, []);
  t.is(placement?.startsIfAdvised.length, 1);
  t.deepEqual(reasonsOf(bench.preview(planOf(1))), { w1: 'no_advice', w2: 'no_advice' });
  bench.run(1, { count: 5 });
  bench.grant(stepIdOf(jobId(1), 0, 0), [W1.id]);
  t.deepEqual(reasonsOf(bench.preview(planOf(1))), { w2: 'not_granted' });
});

test('what blocks the whole step is told', (t) => {
  const bench = previewBench({
    configuration: configurationOf(undefined, { limit: cores(1, 0) }),
  });
  t.is(bench.preview(planOf(1, { demand: cores(9) })).placement?.waitsFor, 'no_worker_fits');
  bench.run(1);
  t.is(bench.preview(planOf(2)).placement?.waitsFor, 'team_limit');
  bench.send({ kind: 'place', mayStart: false });
  t.is(bench.preview(planOf(2)).placement?.waitsFor, 'store_unavailable');
  const queue = brandAs<QueueId>('none');
  const { admission, placement } = bench.preview({ ...planOf(2), queue });
  t.deepEqual(admission, { kind: 'refused', reason: 'unknown_queue' });
  t.is(placement, undefined);
  const team = brandAs<TeamId>('none');
  t.like(bench.preview({ ...planOf(2), team }).admission, { reason: 'unknown_team' });
});

const SHARED = { ...DEFAULT_SCHEDULING, admission: 'forecast', sharing: 'weighted' } as const;

/** A team at six times its rate; `onTick` is called before each pass. */
function loadOf(onTick: (load: ReturnType<typeof hardLoad>) => void) {
  const load = hardLoad({
    scheduling: { ...SHARED, runTimes: 'learned' },
    factorOf: (team) => {
      if (team === 0) {
        onTick(load);
      }
      return team === 0 ? 6 : 1.05;
    },
  });
  load.run(7000);
  return load;
}

// Guards against a preview that takes a token, lent room or a place in a share, or renews what decisions look at.
test('under load all jobs, starts and calls for advice are the same with and without previews', (t) => {
  const admissions = new Set<string>();
  const [plain, previewed] = [
    loadOf(() => undefined),
    loadOf(({ fleet: { harness } }) => {
      for (const queue of ['calls', 'gangs', 'batches']) {
        const plan = planOf(99_999, { count: 16, isGang: queue === 'gangs', demand: cores(9) });
        const hot = { ...plan, queue: brandAs<QueueId>(queue), team: teamNamed(0) };
        const { admission, placement } = harness.preview(hot);
        admissions.add(admission.kind === 'refused' ? admission.reason : admission.kind);
        t.not(placement, undefined);
        t.true(admission.kind !== 'refused' || (admission.forecastMillis ?? 0) >= 0);
        harness.preview({ ...hot, team: teamNamed(1) });
      }
    }),
  ];
  t.true(admissions.has('admitted') && admissions.has('late'), [...admissions].join());
  t.deepEqual(previewed.jobs, plain.jobs);
  for (const kind of ['order', 'ask_advice', 'event'] as const) {
    t.deepEqual(previewed.fleet.harness.of(kind), plain.fleet.harness.of(kind));
  }
});
