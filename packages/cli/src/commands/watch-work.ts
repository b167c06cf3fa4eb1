/** Follows a piece of work until it has ended. */

import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '@bamboowell/kernel/clock';
import type { WorkStatus } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { deadlineAfter, MILLIS_PER_SECOND, NEVER } from '@bamboowell/types/time';
import type { Attempt, Daemons } from '../daemons.js';
import type { ExitCode } from '../exit-code.js';
import { FailedCallError, plainFailure } from '../failure.js';
import type { Output } from '../output.js';
import { exitCodeOfWork, requireStatus, progressOf } from '../work-status.js';

/** A connection on which nothing came for this long may have gone silent for good. */
const SILENCE_MILLIS = 30 * MILLIS_PER_SECOND;
const PAUSE_BETWEEN_ROUNDS_MILLIS = MILLIS_PER_SECOND;

/**
 * Reports each change. Goes on at the next daemon if a connection ends or is silent, and starts
 * again at the first one as long as any of them answers.
 * @returns the exit code that tells how the work ended.
 */
export async function watchWork(
  daemons: Daemons,
  output: Output,
  clock: Clock,
  workId: string,
): Promise<ExitCode> {
  let latest: WorkStatus | undefined;
  const take = (status: WorkStatus): void => {
    if (!isDeepStrictEqual(status, latest)) {
      output.report(progressOf(status));
    }
    latest = status;
  };
  for (;;) {
    const round = new Round(clock, workId, take);
    try {
      const ended = await daemons.call('read', NEVER, (attempt) => round.watch(attempt));
      return exitCodeOfWork(ended);
    } catch (error) {
      if (!round.hasHeard || !isInterruption(error)) {
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
  /** Whether any daemon sent a status. */
  hasHeard = false;

  constructor(
    private readonly clock: Clock,
    private readonly workId: string,
    private readonly take: (status: WorkStatus) => void,
  ) {}

  /** Watches at one daemon. */
  async watch({ caller, options }: Attempt): Promise<WorkStatus> {
    const silence = new AbortController();
    const signal = AbortSignal.any([silence.signal, ...(options.signal ? [options.signal] : [])]);
    let alarm = this.silenceAlarm(silence);
    try {
      for await (const response of caller.watch({ workId: this.workId }, { signal })) {
        alarm.cancel();
        alarm = this.silenceAlarm(silence);
        const status = requireStatus(response.status);
        this.hasHeard = true;
        this.take(status);
        if (status.ended) {
          return status;
        }
      }
    } finally {
      alarm.cancel();
    }
    throw new FailedCallError(
      plainFailure('not_run', 'unanswered', 'the daemon ended the watch before the work'),
    );
  }

  private silenceAlarm(silence: AbortController) {
    const deadline = deadlineAfter(this.clock.now(), SILENCE_MILLIS);
    return this.clock.wakeAt(deadline, () => {
      silence.abort();
    });
  }
}
