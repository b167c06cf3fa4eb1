import test from 'ava';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { CheckpointSchedule } from './checkpoint-schedule.js';

const HOUR_MILLIS = 3_600_000;
const RETENTION = { entries: 8000, millis: 8 * HOUR_MILLIS };

function at(hours: number): Instant {
  return brandAs<Instant>(hours * HOUR_MILLIS);
}

function offsetOf(value: number): Offset {
  return brandAs<Offset>(value);
}

/**
 * A schedule whose newest complete checkpoint was read at hour 0 and includes all entries below
 * 100.
 */
function newSchedule(retention: { entries: number | null; millis: number | null } = RETENTION) {
  const schedule = new CheckpointSchedule(retention, offsetOf(0), at(0));
  schedule.recordEntry(offsetOf(99), 10);
  schedule.recordComplete(offsetOf(100), at(0));
  return schedule;
}

test('an empty stream needs no checkpoint, whatever its age', (t) => {
  const schedule = new CheckpointSchedule(RETENTION, offsetOf(0), at(0));
  t.is(schedule.need(at(100)), 'none');
});

test('after a restart the age is unknown, so that a checkpoint is due at once', (t) => {
  const schedule = new CheckpointSchedule(RETENTION, offsetOf(100), at(0));
  t.is(schedule.need(at(0)), 'due');
});

test('a checkpoint is due by age at an eighth of the retention, also of an idle stream', (t) => {
  const schedule = newSchedule();
  t.is(schedule.need(at(0.9)), 'none');
  t.is(schedule.need(at(1)), 'due');
  t.is(schedule.need(at(4)), 'overdue');
});

test('a checkpoint is due by entries at an eighth of the retention', (t) => {
  const schedule = newSchedule();
  schedule.recordEntry(offsetOf(1098), 10);
  t.is(schedule.need(at(0)), 'none');
  schedule.recordEntry(offsetOf(1099), 10);
  t.is(schedule.need(at(0)), 'due');
  schedule.recordEntry(offsetOf(4099), 10);
  t.is(schedule.need(at(0)), 'overdue');
});

test('a checkpoint is due by bytes, however few entries they came in', (t) => {
  const schedule = newSchedule({ entries: null, millis: null });
  schedule.recordEntry(offsetOf(100), 7_999_999);
  t.is(schedule.need(at(0)), 'none');
  schedule.recordEntry(offsetOf(101), 1);
  t.is(schedule.need(at(0)), 'due');
});

test('nothing is due while a snapshot is being written; it is due again if the snapshot does not arrive', (t) => {
  const schedule = newSchedule();
  schedule.recordWriteStarted(at(1));
  t.is(schedule.need(at(1.01)), 'none');
  t.is(schedule.need(at(1.02)), 'due');
});

test('an outage at the due time makes a checkpoint overdue, until a complete one is read', (t) => {
  const schedule = newSchedule();
  schedule.recordWriteStarted(at(1));
  t.is(schedule.need(at(5)), 'overdue');
  schedule.recordComplete(offsetOf(100), at(5));
  t.is(schedule.need(at(5)), 'none');
  t.is(schedule.need(at(6)), 'due');
});

test('an older checkpoint of another writer does not count', (t) => {
  const schedule = newSchedule();
  schedule.recordComplete(offsetOf(50), at(1));
  t.is(schedule.need(at(1)), 'due');
});

test('reading an old checkpoint after a restart does not reset its age', (t) => {
  const schedule = new CheckpointSchedule(RETENTION, offsetOf(100), at(0));
  schedule.recordComplete(offsetOf(100), undefined);
  t.is(schedule.need(at(0)), 'due');
  schedule.recordComplete(offsetOf(100), at(0));
  t.is(schedule.need(at(0)), 'none');
});
