import test from 'ava';
import { done, refusalOf, refused } from '@bamboowell/types/verdict';
import { brandAs, type MemberId, type Version } from '@bamboowell/types/ids';
import {
  CALLER,
  failureOf,
  frontHarness,
  OPERATOR,
  post,
  submission,
  WORK,
  workView,
} from './front.fixture.js';

test('/healthz always succeeds and /readyz follows the daemon', async (t) => {
  const ready = frontHarness().app;
  const unready = frontHarness({}, false).app;
  t.is((await ready.request('/healthz')).status, 200);
  t.is((await unready.request('/healthz')).status, 200);
  t.is((await ready.request('/readyz')).status, 200);
  t.is((await unready.request('/readyz')).status, 503);
});

test('a call to an unknown method reports that nothing was run', async (t) => {
  const { status, body } = await post(frontHarness().app, '/bamboowell.v1.CallerService/Fly', {});
  t.is(status, 404);
  t.regex(String(body.message), /^not run/);
});

test('the backend receives the key of the header, or null without a header', async (t) => {
  const { app, calls } = frontHarness();
  await post(app, `${CALLER}Submit`, submission(), { authorization: 'Bearer k1.s.e.cret' });
  await post(app, `${CALLER}Submit`, submission());
  t.deepEqual(
    calls.map(({ sender }) => sender),
    [{ key: brandAs('k1'), secret: 's.e.cret' }, null],
  );
});

for (const header of ['Bearer', 'Bearer k1', 'Basic k1.secret', 'Bearer K1.secret', 'Bearer .s']) {
  test(`the header "${header}" is refused`, async (t) => {
    const { app, calls } = frontHarness();
    const { status, body } = await post(app, `${CALLER}Submit`, submission(), {
      authorization: header,
    });
    t.is(status, 400);
    t.like(failureOf(body), { verdict: 'NOT_RUN', reason: 'malformed', field: 'authorization' });
    t.is(calls.length, 0);
  });
}

test('the deadline is derived from the timeout, up to a maximum', async (t) => {
  const { app, calls } = frontHarness();
  for (const timeoutMillis of [0, 250, 86_400_000]) {
    await post(app, `${CALLER}Submit`, submission({ timeoutMillis }));
  }
  t.deepEqual(
    calls.map(({ deadline }) => Number(deadline)),
    [11_000, 1_250, 301_000],
  );
});

test('every method returns what the backend answered', async (t) => {
  const { app, calls } = frontHarness();
  const read = async (path: string, body: object = {}) => {
    const answer = await post(app, path, body);
    t.is(answer.status, 200, path);
    return answer.body;
  };
  t.like(await read(`${CALLER}Submit`, submission()), { workId: WORK });
  t.like(await read(`${CALLER}Call`, { queue: 'q', requestId: 'r' }), {
    answer: 'yes',
    worker: 'w-1',
    attemptId: `${WORK}/0#1`,
  });
  t.like(await read(`${CALLER}Get`, { workId: WORK }), { status: { workId: WORK } });
  t.deepEqual(await read(`${CALLER}Cancel`, { workIds: [WORK] }), {
    outcomes: [{ workId: WORK, verdict: 'VERDICT_RAN' }],
  });
  t.like(await read(`${CALLER}Explain`, { workId: WORK }), { sentences: ['It waits for room.'] });
  t.like(await read(`${OPERATOR}GetConfiguration`), { fresh: true });
  t.deepEqual(await read(`${OPERATOR}ApplyChanges`, { base: 6 }), { version: 7 });
  t.like(await read(`${OPERATOR}GetEnforcement`, { version: 7 }), { everywhere: true });
  t.like(await read(`${OPERATOR}GetStatus`), { member: 'entry-1', version: 7 });
  t.is(calls.length, 9);
});

test('a change is in force everywhere only if each member is reachable and has the version', async (t) => {
  const versions = (version: number, reachable: boolean) =>
    done([{ member: brandAs<MemberId>('entry-2'), version: brandAs<Version>(version), reachable }]);
  for (const enforcement of [versions(6, true), versions(7, false)]) {
    const { app } = frontHarness({ enforcement });
    const { body } = await post(app, `${OPERATOR}GetEnforcement`, { version: 7 });
    t.not(body.everywhere, true);
  }
});

test('a refusal by the backend reaches the caller with all its fields', async (t) => {
  const refusal = {
    ...refusalOf('may_have_run', 'owner_unreachable', 'no answer', 'demand'),
    work: WORK,
  };
  const { app } = frontHarness({ submit: { kind: 'refused', refusal } });
  const { status, body } = await post(app, `${CALLER}Submit`, submission());
  t.is(status, 503);
  t.is(body.message, 'may have run: no answer');
  t.deepEqual(failureOf(body), {
    verdict: 'MAY_HAVE_RUN',
    reason: 'owner_unreachable',
    field: 'demand',
    detail: 'no answer',
    work: WORK,
  });
});

/** Splits a Connect stream into envelopes: one byte of flags, four bytes of length, then JSON. */
function envelopes(bytes: Buffer): { readonly flags: number; readonly body: object }[] {
  const found = [];
  for (let at = 0; at < bytes.length;) {
    const end = at + 5 + bytes.readUInt32BE(at + 1);
    const body = JSON.parse(bytes.subarray(at + 5, end).toString()) as object;
    found.push({ flags: bytes.readUInt8(at), body });
    at = end;
  }
  return found;
}

async function watchEnvelopes(app: ReturnType<typeof frontHarness>['app'], text: string) {
  const body = Buffer.from(text);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(body.length, 1);
  const response = await app.request(`${CALLER}Watch`, {
    method: 'POST',
    headers: { 'content-type': 'application/connect+json' },
    body: Buffer.concat([head, body]),
  });
  assertOk(response.status);
  return envelopes(Buffer.from(await response.arrayBuffer()));
}

function assertOk(status: number): void {
  if (status !== 200) {
    throw new Error(`expected status 200, found ${status}`);
  }
}

test('watch yields each view and ends the stream', async (t) => {
  const views = await watchEnvelopes(frontHarness().app, JSON.stringify({ workId: WORK }));
  t.deepEqual(
    views.map(({ flags }) => flags),
    [0, 0, 2],
  );
  t.like(views[1]?.body, { status: { ended: true } });
});

test('a refusal during watch ends the stream with a failure', async (t) => {
  const { app } = frontHarness({ watch: [done(workView()), refused('no_owner', 'none')] });
  const views = await watchEnvelopes(app, JSON.stringify({ workId: WORK }));
  const { error } = views.at(-1)?.body as { error: Record<string, unknown> };
  t.like(failureOf(error), { verdict: 'NOT_RUN', reason: 'no_owner' });
});

for (const [text, reason] of [
  ['{"workId": 1}', 'malformed'],
  ['{"colour": "red"}', 'unknown_field'],
  ['{"workId": "', 'malformed'],
] as const) {
  test(`a malformed watch request, ${text}, ends the stream with a failure`, async (t) => {
    const views = await watchEnvelopes(frontHarness().app, text);
    const { error } = views.at(-1)?.body as { error: Record<string, unknown> };
    t.like(failureOf(error), { verdict: 'NOT_RUN', reason });
  });
}

test('requests, their outcomes and refusals are counted', async (t) => {
  const { app, counters } = frontHarness();
  await post(app, `${CALLER}Submit`, submission());
  await post(app, `${CALLER}Submit`, submission({ queue: '' }));
  await post(app, `${CALLER}Submit`, submission({ colour: 'red' }));
  await post(app, `${CALLER}Call`, { queue: 'q', requestId: 'r' });
  await post(app, `${CALLER}Cancel`, { workIds: [WORK] });
  await post(app, `${CALLER}Get`, { workId: WORK }, { authorization: 'Basic' });
  await watchEnvelopes(app, '{');
  t.is(counters.count('request.received'), 7);
  t.is(counters.count('request.received', { method: 'Submit' }), 3);
  t.is(counters.timingOf('request.millis')?.count, 7);
  t.is(counters.count('work.accepted', { kind: 'batch' }), 1);
  t.is(counters.count('work.cancelled', { verdict: 'ran' }), 1);
  t.is(counters.count('call.answered'), 1);
  t.is(counters.count('refusal.malformed'), 3);
  t.is(counters.count('refusal.unknown_field'), 1);
});

test('a repeated request is counted as repeated, not as accepted', async (t) => {
  const { app, counters } = frontHarness({ submit: done({ work: WORK, repeated: true }) });
  await post(app, `${CALLER}Submit`, submission());
  t.is(counters.count('work.repeated'), 1);
  t.is(counters.count('work.accepted'), 0);
});
