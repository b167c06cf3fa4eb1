import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import { NEVER, deadlineAfter, type Instant } from '@bamboowell/types/time';
import { HoldWindows } from './hold-windows.js';

const SERVICE = 'tunnels';
const PASS_MILLIS = 100;
const IDLE = { isBusy: false, startsAt: NEVER };

/** The spans, from and to in milliseconds, in which room may be kept in passes during that time. */
function windowsIn(
  millis: number,
  isBusy: (at: number) => boolean,
  startsIn: (at: number) => number = () => 1_000_000,
) {
  const windows = new HoldWindows();
  const spans: { from: number; to: number }[] = [];
  let isKept = false;
  for (let at = 0; at < millis; at += PASS_MILLIS) {
    const now = brandAs<Instant>(at);
    const wasKept = isKept;
    const startsAt = deadlineAfter(now, startsIn(at));
    const window = windows.windowBegin(SERVICE, { isBusy: isBusy(at), startsAt }, now);
    isKept = window !== undefined;
    windows.endPass(now);
    if (isKept && !wasKept) {
      spans.push({ from: at, to: millis });
    }
    const span = spans.at(-1);
    if (!isKept && wasKept && span !== undefined) {
      span.to = at;
    }
  }
  return spans;
}

// Guards against idle workers that are kept from work for longer than it may wait (rule LOST).
test('in a service of which little is in use every window ends within three seconds', (t) => {
  const spans = windowsIn(60_000, () => false);
  t.true(spans.length > 20);
  t.true(spans.every(({ from, to }) => to - from <= 3000));
});

// Guards against a gang that starves behind long runs, of which some start in each opening.
test('in a busy service windows grow until a gang outwaits runs of twenty seconds', (t) => {
  const spans = windowsIn(90_000, () => true);
  t.true(spans.some(({ from, to }) => to - from >= 20_000));
});

// Guards against a gang that starves behind runs of some seconds on the few workers that it may use.
test('a gang of an idle service that will start outwaits runs of five seconds, but not for ever', (t) => {
  const spans = windowsIn(
    60_000,
    () => false,
    () => 5000,
  );
  t.true(spans.some(({ from, to }) => to - from >= 5000));
  t.true(spans.every(({ from, to }) => to - from <= 10_000));
});

test('a window that began while the service was busy ends soon after it is not any more', (t) => {
  const spans = windowsIn(60_000, (at) => at < 30_000);
  const last = spans.find(({ from, to }) => from < 30_000 && to >= 30_000);
  t.true(last !== undefined && last.to <= 33_000, JSON.stringify(spans));
});

test('a gang that needs no room any more leaves no window behind', (t) => {
  const windows = new HoldWindows();
  const at = (millis: number) => brandAs<Instant>(millis);
  t.is(windows.windowBegin(SERVICE, IDLE, at(0)), at(0));
  windows.endPass(at(0));
  for (let millis = PASS_MILLIS; millis <= 1000; millis += PASS_MILLIS) {
    windows.endPass(at(millis));
  }
  t.is(windows.windowBegin(SERVICE, IDLE, at(1100)), at(1100));
});
