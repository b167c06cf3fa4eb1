import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { vmListApp } from './vm-server.js';

function listOf(clock = new ManualClock(1_000_000)) {
  const app = vmListApp(clock);
  const put = async (path: string, body: unknown) =>
    app.request(path, { method: 'PUT', body: JSON.stringify(body) });
  const get = async () => app.request('/vms');
  const shown = async (): Promise<unknown> => (await get()).json();
  return { clock, app, put, get, shown };
}

function vmOf(member: string, state = 'live') {
  return {
    role: 'entry',
    member,
    region: 'region-1',
    dataCentre: 'centre-1',
    address: { host: '127.0.0.1', port: 1 },
    state,
  };
}

test('the list can be shown with a lag', async (t) => {
  const { clock, put, shown } = listOf();
  const before = { vms: [vmOf('m1')] };
  const after = { vms: [vmOf('m1', 'leaving'), vmOf('m2')] };
  t.deepEqual(await shown(), { vms: [] });
  await put('/switches', { lagMillis: 5000 });
  await put('/vms', before);
  t.deepEqual(await shown(), { vms: [] });
  clock.advance(5000);
  await put('/vms', after);
  t.deepEqual(await shown(), before);
  clock.advance(4999);
  t.deepEqual(await shown(), before);
  clock.advance(1);
  t.deepEqual(await shown(), after);
});

test('the list can be down', async (t) => {
  const { put, get } = listOf();
  await put('/switches', { down: true });
  t.is((await get()).status, 503);
  await put('/switches', { down: false });
  t.is((await get()).status, 200);
});

test('a malformed body is refused with the path of the field, and changes nothing', async (t) => {
  const { put, shown } = listOf();
  await put('/vms', { vms: [vmOf('m1')] });
  const answer = await put('/vms', { vms: [{ ...vmOf('m2'), state: 'gone' }] });
  t.is(answer.status, 400);
  t.regex(await answer.text(), /vms\[0\]\.state/);
  t.is((await put('/switches', { lagMillis: -1 })).status, 400);
  t.deepEqual(await shown(), { vms: [vmOf('m1')] });
});
