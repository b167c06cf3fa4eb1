import test from 'ava';
import fc from 'fast-check';
import {
  CALLER,
  failureOf,
  frontHarness,
  MAX_BODY_BYTES,
  OPERATOR,
  post,
  postText,
  quickCall,
  submission,
  WORK,
} from './front.fixture.js';

interface InvalidRequest {
  readonly title: string;
  readonly path: string;
  readonly body: unknown;
  readonly reason: string;
  readonly field: string;
}

const WITHOUT_SHAPE = { batch: undefined };

function badSubmission(
  title: string,
  changes: object,
  field: string,
  reason = 'malformed',
): InvalidRequest {
  return { title, path: `${CALLER}Submit`, body: submission(changes), reason, field };
}

function badCall(
  title: string,
  changes: object,
  field: string,
  reason = 'malformed',
): InvalidRequest {
  return { title, path: `${CALLER}Call`, body: quickCall(changes), reason, field };
}

function badRequest(
  path: string,
  body: unknown,
  field: string,
  reason = 'malformed',
  title = JSON.stringify(body),
): InvalidRequest {
  return { title, path, body, reason, field };
}

function badChange(change: object, field: string, reason = 'malformed'): InvalidRequest {
  const body = { base: 1, changes: [{ removeTeam: 'fine' }, change] };
  const title = JSON.stringify(change);
  const path = `${OPERATOR}ApplyChanges`;
  return { title, path, body, reason, field: field === '' ? '' : `changes[1]${field}` };
}

const TEAM = { id: 'holds', share: 1, limit: { slots: 1 } };
const QUEUE = { id: 'nightly', teams: ['holds'], maxWaiting: 1 };
const KEY = { id: 'k1', team: 'holds', secretHash: 'a'.repeat(64) };

const INVALID_REQUESTS: readonly InvalidRequest[] = [
  badSubmission('no queue', { queue: '' }, 'queue'),
  badSubmission('bad queue', { queue: 'No Such' }, 'queue'),
  badSubmission('long queue', { queue: 'q'.repeat(64) }, 'queue'),
  badSubmission('queue of a wrong type', { queue: 7 }, 'queue'),
  badSubmission('no request id', { requestId: '' }, 'requestId'),
  badSubmission('long request id', { requestId: 'r'.repeat(129) }, 'requestId'),
  badSubmission('no shape', WITHOUT_SHAPE, 'shape'),
  badSubmission('no tasks', { batch: {} }, 'batch.tasks', 'impossible_size'),
  badSubmission('too many tasks', { batch: { tasks: 10_001 } }, 'batch.tasks', 'impossible_size'),
  badSubmission('tasks below zero', { batch: { tasks: -1 } }, 'tasks'),
  badSubmission('half a task', { batch: { tasks: 1.5 } }, 'tasks'),
  badSubmission('no gang', { ...WITHOUT_SHAPE, gang: {} }, 'gang.tasks', 'impossible_size'),
  badSubmission(
    'no replicas',
    { ...WITHOUT_SHAPE, service: { replicas: 0 } },
    'service.replicas',
    'impossible_size',
  ),
  badSubmission('no demand', { demand: undefined }, 'demand'),
  badSubmission('a demand of nothing', { demand: {} }, 'demand'),
  badSubmission('demand of a wrong type', { demand: { slots: 'many' } }, 'slots'),
  badSubmission('bad data centre', { dataCentre: 'Here!' }, 'dataCentre'),
  badSubmission('unknown urgency', { urgency: 'URGENCY_NOW' }, 'urgency'),
  badSubmission('an urgency without a name', { urgency: 99 }, 'urgency'),
  badSubmission('idempotent of a wrong type', { idempotent: 'yes' }, 'idempotent'),
  badSubmission('timeout below zero', { timeoutMillis: -1 }, 'timeoutMillis'),
  badSubmission('unknown field', { colour: 'red' }, 'colour', 'unknown_field'),
  badSubmission('unknown inner field', { batch: { size: 3 } }, 'size', 'unknown_field'),
  badSubmission('oversize', { payload: 'x'.repeat(MAX_BODY_BYTES) }, '', 'body_too_large'),
  badCall('call without queue', { queue: '' }, 'queue'),
  badCall('call without request id', { requestId: '' }, 'requestId'),
  badCall('call with payload of a wrong type', { payload: {} }, 'payload'),
  badCall('call with a shape', { batch: { tasks: 1 } }, 'batch', 'unknown_field'),
  badRequest(`${CALLER}Get`, {}, 'workId'),
  badRequest(`${CALLER}Get`, { workId: 'a:b' }, 'workId'),
  badRequest(`${CALLER}Explain`, { workId: 'a:b:c d' }, 'workId'),
  badRequest(`${CALLER}Cancel`, { workIds: [] }, 'workIds'),
  badRequest(`${CALLER}Cancel`, { workIds: [WORK, 'nothing'] }, 'workIds[1]'),
  badRequest(`${OPERATOR}GetStatus`, { all: true }, 'all', 'unknown_field'),
  badRequest(`${OPERATOR}GetEnforcement`, { version: 'new' }, 'version'),
  badChange({}, ''),
  badChange({ putTeam: { ...TEAM, id: '' } }, '.putTeam.id'),
  badChange({ putTeam: { ...TEAM, share: 0 } }, '.putTeam.share'),
  badChange({ putTeam: { ...TEAM, limit: undefined } }, '.putTeam.limit'),
  badChange({ putQueue: { ...QUEUE, id: 'Q' } }, '.putQueue.id'),
  badChange({ putQueue: { ...QUEUE, maxWaiting: 0 } }, '.putQueue.maxWaiting'),
  badChange({ putQueue: { ...QUEUE, openFor: 'holds' } }, '.putQueue.teams'),
  badChange({ putKey: { ...KEY, id: '' } }, '.putKey.id'),
  badChange({ putKey: { ...KEY, secretHash: 'tulip' } }, '.putKey.secretHash'),
  badChange({ putDataCentre: { id: '', region: 'kenya' } }, '.putDataCentre.id'),
  badChange({ putDataCentre: { id: 'nairobi-1', region: '' } }, '.putDataCentre.region'),
  badChange({ putQueue: { ...QUEUE, teams: ['Bad Team'] } }, '.putQueue.teams[0]'),
  badChange({ putQueue: { id: 'q', openFor: 'Bad Team', maxWaiting: 1 } }, '.putQueue.openFor'),
  badChange({ putKey: { ...KEY, team: 'Bad Team' } }, '.putKey.team'),
  badChange({ removeTeam: '' }, '.removeTeam'),
  badChange({ removeQueue: 'A' }, '.removeQueue'),
  badChange({ withdrawKey: 'A' }, '.withdrawKey'),
  badChange({ removeDataCentre: 'A' }, '.removeDataCentre'),
];

for (const { title, path, body, reason, field } of INVALID_REQUESTS) {
  test(`an invalid request is refused with its field: ${path.slice(15)} ${title.slice(0, 80)}`, async (t) => {
    const { app, calls } = frontHarness();
    const answer = await post(app, path, body);
    const failure = failureOf(answer.body);
    t.true(answer.status >= 400 && answer.status < 500);
    t.like(failure, { verdict: 'NOT_RUN', reason });
    t.is(failure?.field, field === '' && reason === 'malformed' ? 'changes[1]' : field);
    t.is(calls.length, 0);
    t.is((await post(app, `${CALLER}Submit`, submission())).status, 200);
  });
}

for (const text of ['', '{', '[]', '"text"', 'null', '{"queue": "a", "queue"}', '\u0000']) {
  test(`malformed JSON is refused: ${JSON.stringify(text)}`, async (t) => {
    const { app, calls } = frontHarness();
    const answer = await postText(app, `${CALLER}Submit`, text);
    t.is(answer.status, 400);
    t.like(failureOf(answer.body), { verdict: 'NOT_RUN', reason: 'malformed' });
    t.is(calls.length, 0);
    t.is((await post(app, `${CALLER}Submit`, submission())).status, 200);
  });
}

test('a decoded request holds all fields of the submission', async (t) => {
  const { app, calls } = frontHarness();
  await post(
    app,
    `${CALLER}Submit`,
    submission({ urgency: 'URGENCY_URGENT', idempotent: true, dataCentre: 'nairobi-1' }),
  );
  t.like(calls[0]?.request, {
    queue: 'nightly',
    requestId: 'r-1',
    shape: { kind: 'batch', tasks: 3 },
    urgency: 'urgent',
    demand: { millicores: 500, memoryMib: 256, accelerators: 0, slots: 0 },
    idempotent: true,
    checkpointable: false,
    payload: 'p',
    dataCentre: 'nairobi-1',
  });
});

test('a quick call demands at least one slot', async (t) => {
  const { app, calls } = frontHarness();
  await post(app, `${CALLER}Call`, quickCall());
  await post(app, `${CALLER}Call`, quickCall({ demand: { accelerators: 1 } }));
  t.like(calls[0]?.request, { shape: { kind: 'quick_call' }, demand: { slots: 1, millicores: 0 } });
  t.like(calls[1]?.request, { demand: { slots: 1, accelerators: 1 }, dataCentre: null });
});

test('every kind of change is decoded', async (t) => {
  const { app, calls } = frontHarness();
  const changes = [
    { putTeam: TEAM },
    { putQueue: QUEUE },
    { putQueue: { id: 'open', openFor: 'holds', maxWaiting: 2 } },
    { putKey: KEY },
    { putKey: { ...KEY, team: '' } },
    { putDataCentre: { id: 'nairobi-1', region: 'kenya' } },
    { removeTeam: 'a' },
    { removeQueue: 'b' },
    { withdrawKey: 'c' },
    { removeDataCentre: 'd' },
  ];
  await post(app, `${OPERATOR}ApplyChanges`, { base: 4, changes });
  t.is(Number(calls[0]?.base), 4);
  t.deepEqual(calls[0]?.changes as unknown, [
    {
      kind: 'put_team',
      team: {
        id: 'holds',
        share: 1,
        limit: { millicores: 0, memoryMib: 0, accelerators: 0, slots: 1 },
      },
    },
    {
      kind: 'put_queue',
      queue: { id: 'nightly', access: { kind: 'teams', teams: ['holds'] }, maxWaiting: 1 },
    },
    {
      kind: 'put_queue',
      queue: { id: 'open', access: { kind: 'open', team: 'holds' }, maxWaiting: 2 },
    },
    { kind: 'put_key', key: { ...KEY, withdrawn: false } },
    { kind: 'put_key', key: { ...KEY, team: null, withdrawn: false } },
    { kind: 'put_data_centre', dataCentre: { id: 'nairobi-1', region: 'kenya' } },
    { kind: 'remove_team', id: 'a' },
    { kind: 'remove_queue', id: 'b' },
    { kind: 'withdraw_key', id: 'c' },
    { kind: 'remove_data_centre', id: 'd' },
  ]);
});

const PATHS = [
  ...['Submit', 'Call', 'Get', 'Cancel', 'Explain'].map((name) => `${CALLER}${name}`),
  ...['GetConfiguration', 'ApplyChanges', 'GetEnforcement', 'GetStatus'].map(
    (name) => `${OPERATOR}${name}`,
  ),
];

const FIELDS = ['queue', 'requestId', 'batch', 'tasks', 'demand', 'slots', 'workId', 'workIds'];

/** JSON values, many of them with known fields so that some get past the decoder. */
function anyBody(): fc.Arbitrary<unknown> {
  const value = fc.oneof(fc.jsonValue({ maxDepth: 3 }), fc.constantFrom(WORK, 'a', [WORK], 1));
  const object = fc.dictionary(fc.constantFrom(...FIELDS), value);
  const wrapped = fc.record({ batch: object, demand: object, changes: fc.array(object) });
  return fc.oneof(fc.jsonValue(), object, wrapped, object.map(submission));
}

test('any JSON body either succeeds or is refused with the verdict not run', async (t) => {
  const { app } = frontHarness();
  let refusals = 0;
  await fc.assert(
    fc.asyncProperty(fc.constantFrom(...PATHS), anyBody(), async (path, body) => {
      const answer = await post(app, path, body);
      refusals += answer.status === 200 ? 0 : 1;
      return answer.status === 200 || failureOf(answer.body)?.verdict === 'NOT_RUN';
    }),
    { numRuns: 1_000, seed: 11 },
  );
  t.true(refusals > 0 && refusals < 1_000);
});
