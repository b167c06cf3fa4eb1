/** Follows a work item until it has ended. */

import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '@bamboowell/kernel/clock';
import type { WorkStatus } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { deadlineAfter, MILLIS_PER_SECOND, NEVER } from '@bamboowell/types/time';
import type { Attempt, Daemons } from '../daemons.js';
import type { ExitCode } from '../exit-code.js';
import { FailedCallError, plainFailure } from '../failure.js';
import type { Output } from '../output.js';
import { exitCodeOfWork, requireStatus, progressOf } from '../work-status.js';

/** A connection without data for this long is treated as broken. */
const SILENCE_TIMEOUT_MILLIS = 30 * MILLIS_PER_SECOND;
const PAUSE_BETWEEN_ROUNDS_MILLIS = MILLIS_PER_SECOND;

/**
 * Reports each change. Continues with the next daemon if a connection ends or is silent for too
 * long, and starts over with the first daemon as long as any of them sent a status.
 * @returns the exit code for how the work item ended.
 */
export async function watchWork(
  daemons: Daemons,
  output: Output,
  clock: Clock,
  workId: string,
): Promise<ExitCode> {
  let latest: WorkStatus | undefined;
  const onStatus = (status: WorkStatus): void => {
    if (!isDeepStrictEqual(status, latest)) {
      output.report(progressOf(status));
    }
    latest = status;
  };
  for (;;) {
    const round = new Round(clock, workId, onStatus);
    try {
      const ended = await daemons.call('read', NEVER, (attempt) => round.watch(attempt));
      return exitCodeOfWork(ended);
    } catch (error) {
      if (!round.hasReceivedStatus || !isInterruption(error)) {
        throw error;
      }
    }
    await clock.sleepUntil(deadlineAfter(clock.now(), PAUSE_BETWEEN_ROUNDS_MILLIS));
  }
}

function isInterruption(error: unknown): boolean {
  return (
    error instanceof FailedCallError && ['unanswered', 'unreachable'].includes(error.failure.reason)
  );
}

/** One pass over the daemons. */
class Round {
  /** Whether any daemon sent a status in this pass. */
  hasReceivedStatus = false;

  constructor(
    private readonly clock: Clock,
    private readonly workId: string,
    private readonly onStatus: (status: WorkStatus) => void,
  ) {}

  /** Watches through one daemon until the work item has ended. */
  async watch({ caller, options }: Attempt): Promise<WorkStatus> {
    const silence = new AbortController();
    const signal = AbortSignal.any([silence.signal, ...(options.signal ? [options.signal] : [])]);
    let alarm = this.silenceAlarm(silence);
    try {
      for await (const response of caller.watch({ workId: this.workId }, { signal })) {
        alarm.cancel();
        alarm = this.silenceAlarm(silence);
        const status = requireStatus(response.status);
        this.hasReceivedStatus = true;
        this.onStatus(status);
        if (status.ended) {
          return status;
        }
      }
    } finally {
      alarm.cancel();
    }
    throw new FailedCallError(
      plainFailure(
        'not_run',
        'unanswered',
        'the daemon closed the watch before the work had ended',
      ),
    );
  }

  private silenceAlarm(silence: AbortController) {
    const deadline = deadlineAfter(this.clock.now(), SILENCE_TIMEOUT_MILLIS);
    return this.clock.wakeAt(deadline, () => {
      silence.abort();
    });
  }
}
