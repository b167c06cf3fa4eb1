import test from 'ava';
import { collectorOf, JOB, logLine, completedJobLines } from './log.fixture.js';
import { taskTimesOf } from './phases.js';
import { explanationOf } from './job-explanation.js';

const TASK = `${JOB}.0.0.0`;

test('the events of a job are sorted by time across all members', (t) => {
  const lines = [
    ...completedJobLines().reverse(),
    logLine(20, 'm2', 'request.answered', {
      path: `/q/${JOB}`,
      verb: 'submit',
      outcome: 'accepted',
    }),
    logLine(10, 'm2', 'request.answered', { path: '/q/00', verb: 'submit', outcome: 'no_owner' }),
    'Listening on port 80',
  ];
  const { rows, findings } = explanationOf(collectorOf(lines));
  t.deepEqual(
    rows.map(({ afterMillis, event }) => [afterMillis, event]),
    [
      [0, 'job.taken'],
      [20, 'request.answered'],
      [30, 'advice.taken'],
      [50, 'task.placed'],
      [700, 'task.ended'],
      [701, 'job.ended'],
    ],
  );
  t.deepEqual(findings, [
    'the job ended as completed 701 ms after it was taken (all tasks done)',
    `its slowest task, ${TASK}, waited 30 ms for advice and 20 ms for room on a worker, ran 650 ms, and lost 0 ms in runs that did not succeed`,
  ]);
});

test('the time of a task is split into phases, and its lost runs are listed', (t) => {
  const [taken = '', advice = ''] = completedJobLines();
  const lines = [
    taken,
    advice,
    logLine(100, 'm1', 'task.placed', { task: TASK, run: 1, worker: 'w1' }),
    logLine(110, 'm1', 'start.rejected', { task: TASK, run: 1, worker: 'w1', reason: 'no_room' }),
    logLine(200, 'm1', 'task.placed', { task: TASK, run: 2, worker: 'w2' }),
    logLine(500, 'm1', 'task.ended', { task: TASK, run: 2, worker: 'w2', end: 'failed' }),
    logLine(600, 'm1', 'task.placed', { task: TASK, run: 3, worker: 'w3' }),
    logLine(900, 'm1', 'task.ended', { task: TASK, run: 3, worker: 'w3', end: 'done' }),
  ];
  t.deepEqual(taskTimesOf(collectorOf(lines).jobEvents), [
    {
      task: TASK,
      adviceMillis: 30,
      roomMillis: 70 + 90 + 100,
      runMillis: 300,
      lostMillis: 310,
      lostRuns: [
        { run: '1', worker: 'w1', cause: 'no_room' },
        { run: '2', worker: 'w2', cause: 'failed' },
      ],
      isDone: true,
    },
  ]);
});

test('a later step waits from the end of the step before it', (t) => {
  const later = `${JOB}.0.1.0`;
  const lines = [
    ...completedJobLines().slice(0, 4),
    logLine(650, 'm1', 'advice.taken', { step: `${JOB}.0.1`, granted: 3 }),
    logLine(720, 'm1', 'task.placed', { task: later, run: 1, worker: 'w1' }),
    logLine(1720, 'm1', 'task.ended', { task: later, run: 1, worker: 'w1', end: 'done' }),
  ];
  const times = taskTimesOf(collectorOf(lines).jobEvents).find(({ task }) => task === later);
  t.like(times, { adviceMillis: 0, roomMillis: 20, runMillis: 1000 });
});

test('a refused request is explained by the last event about the owner before it', (t) => {
  const lines = [
    logLine(0, 'm2', 'owner.lost', { term: 3, detail: 'silent' }),
    logLine(40, 'm3', 'store.lost', { topic: 'work' }),
    logLine(900, 'm2', 'request.answered', {
      path: `/q/${JOB}`,
      verb: 'submit',
      outcome: 'no_owner',
      millis: 880,
    }),
    logLine(950, 'm3', 'owner.ready', { term: 4 }),
  ];
  t.deepEqual(explanationOf(collectorOf(lines)).findings, [
    'm2 answered submit with no_owner after 880 ms: no owner was reached; 900 ms before, m2 logged owner.lost (detail=silent term=3)',
    'no owner logged that it took the job',
  ]);
});

test('the refusal of a stopping member is explained by its own stopping', (t) => {
  const lines = [
    logLine(0, 'm2', 'member.stopping'),
    logLine(50, 'm1', 'member.stopping'),
    logLine(60, 'm2', 'request.answered', {
      path: `/q/${JOB}`,
      verb: 'submit',
      outcome: 'no_owner',
      millis: 0,
    }),
  ];
  t.is(
    explanationOf(collectorOf(lines)).findings[0],
    'm2 answered submit with no_owner after 0 ms: no owner was reached; 60 ms before, m2 logged member.stopping',
  );
});

test('an undecided request whose job was taken is explained by the last store failure before it', (t) => {
  const lines = [
    logLine(0, 'm1', 'job.taken', { job: JOB, excess: true }),
    logLine(300, 'm1', 'append.failed', { outcome: 'unavailable', detail: 'no answer' }),
    logLine(2900, 'm2', 'request.answered', {
      path: `/q/${JOB}`,
      verb: 'submit',
      outcome: 'undecided',
      millis: 2900,
    }),
    logLine(3500, 'm3', 'owner.ready', { term: 4 }),
  ];
  t.deepEqual(explanationOf(collectorOf(lines)).findings, [
    'm2 answered submit with undecided after 2900 ms: m1 had taken the job; 2600 ms before, m1 logged append.failed (detail=no answer outcome=unavailable)',
    'no line says that the job ended',
    'its team exceeded its promised rate, so the job waited behind all others',
    'none of its tasks was placed',
    'the owner changed 3500 ms after the job was taken: m3 became the owner (term 4)',
  ]);
});

// Guards against a job that waits for ever without a reason in its explanation.
test('a job that can not start is explained by what keeps it, also once that is gone', (t) => {
  const step = `${JOB}.0.0`;
  const lines = [
    logLine(0, 'm1', 'job.taken', { job: JOB }),
    logLine(1000, 'm1', 'step.blocked', {
      step,
      reason: 'gang_exceeds_fleet',
      tasks: 11,
      fittingTasks: 10,
      label: 'b',
    }),
  ];
  const finding = (verb: string): string =>
    `step ${step} of 11 tasks ${verb} not start: all workers that could take its tasks can not hold the gang; the workers have room for 10 of them (label b)`;
  t.true(explanationOf(collectorOf(lines)).findings.includes(finding('can')));
  lines.push(logLine(9000, 'm1', 'step.unblocked', { step }));
  t.true(explanationOf(collectorOf(lines)).findings.includes(finding('could')));
});

test('a job that no line names gets a finding that says so', (t) => {
  const { rows, findings } = explanationOf(
    collectorOf([logLine(0, 'm1', 'owner.ready', { term: 1 })]),
  );
  t.deepEqual(rows, []);
  t.deepEqual(findings, ['no line names the job']);
});
