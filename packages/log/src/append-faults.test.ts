/**
 * Checks that every record takes effect exactly once, whatever happens to its appends and answers.
 */

import test from 'ava';
import fc from 'fast-check';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { StreamName } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { LogAppendResult } from './log.js';
import { MemoryLog, type AppendFault } from './memory-log.js';
import {
  delivered,
  effective,
  newStream,
  advanceTime,
  post,
  settle,
  withdraw,
} from './stream.fixture.js';

const RUNS = { seed: 20_261_204, numRuns: 500 };
const RECOVERY_MILLIS = 70_000;

type Step =
  | { readonly kind: 'append'; readonly count: number }
  | { readonly kind: 'withdraw'; readonly back: number }
  | { readonly kind: 'fault'; readonly fault: AppendFault }
  | { readonly kind: 'down'; readonly isDown: boolean }
  | { readonly kind: 'release' }
  | { readonly kind: 'pass'; readonly millis: number };

const fault = fc.constantFrom<AppendFault>('refused', 'answer_lost', 'request_lost', 'late');

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('append' as const), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('withdraw' as const), back: fc.nat(4) }),
  fc.record({ kind: fc.constant('fault' as const), fault }),
  fc.record({ kind: fc.constant('down' as const), isDown: fc.boolean() }),
  fc.record({ kind: fc.constant('release' as const) }),
  fc.record({ kind: fc.constant('pass' as const), millis: fc.constantFrom(1, 60, 2100) }),
);

const steps = fc.array(step, { minLength: 5, maxLength: 25, size: 'max' });

/**
 * Runs the steps and lets the log recover. Returns the records that took effect and those that
 * should have.
 */
async function runSteps(generated: readonly Step[], make: (clock: ManualClock) => MemoryLog) {
  const clock = new ManualClock(1000);
  const { log, subscriber, task } = newStream(1000, clock, make(clock));
  const expected = new Set<number>();
  let last = 0;
  await task.start();
  await settle();
  for (const each of generated) {
    switch (each.kind) {
      case 'append':
        for (let count = 0; count < each.count; count += 1) {
          last += 1;
          expected.add(last);
          await post(task, last);
        }
        break;
      case 'withdraw':
        if (
          expected.has(last - each.back) &&
          (await withdraw(task, last - each.back)) === 'withdrawn'
        ) {
          expected.delete(last - each.back);
        }
        break;
      case 'fault':
        log.failNext(each.fault);
        break;
      case 'down':
        log.setDown(each.isDown);
        break;
      case 'release':
        log.releaseLate();
        break;
      case 'pass':
        await advanceTime(clock, each.millis, 60);
    }
  }
  log.recover();
  await advanceTime(clock, RECOVERY_MILLIS, 5000);
  await task.stop();
  return { effects: effective(delivered(subscriber.events).flat()), expected: [...expected] };
}

function exactlyOnce(make: (clock: ManualClock) => MemoryLog) {
  return fc.asyncProperty(steps, async (generated) => {
    const { effects, expected } = await runSteps(generated, make);
    return JSON.stringify(effects) === JSON.stringify(expected);
  });
}

/** A log whose outcome `from` reaches the client as `to`. */
function misreportOutcome(from: LogAppendResult['kind'], to: LogAppendResult) {
  return (clock: ManualClock) =>
    new (class extends MemoryLog {
      override async append(
        stream: StreamName,
        body: string,
        deadline: Deadline,
      ): Promise<LogAppendResult> {
        const appended = await super.append(stream, body, deadline);
        return appended.kind === from ? to : appended;
      }
    })(clock);
}

test('records that were not withdrawn take effect once and in order, withdrawn ones never', async (t) => {
  const result = await fc.check(
    exactlyOnce((clock) => new MemoryLog(clock)),
    RUNS,
  );
  t.false(result.failed, fc.defaultReportMessage(result) ?? '');
});

const MISTAKES: readonly (readonly [string, (clock: ManualClock) => MemoryLog])[] = [
  [
    'an unknown outcome for a refusal',
    misreportOutcome('unknown', { kind: 'refused', detail: '' }),
  ],
  ['a refusal for success', misreportOutcome('refused', { kind: 'appended', offset: 0 as never })],
];

for (const [name, make] of MISTAKES) {
  test(`the check detects a client that mistakes ${name}`, async (t) => {
    const result = await fc.check(exactlyOnce(make), { ...RUNS, endOnFailure: true });
    t.true(result.failed);
  });
}
