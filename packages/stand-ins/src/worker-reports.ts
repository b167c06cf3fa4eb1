/** Reports of the worker stand-in: outcomes with digests, and changes of usage. */

import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';
import type { AttemptId } from '@bamboowell/types/ids';
import type { Outcome } from '@bamboowell/types/work';
import type { AttemptUsage } from '@bamboowell/types/worker-messages';
import type { RunningAttempt } from './worker-runs.js';

/**
 * The outcome as it is sent, with the digest of its text. If `isCut`, only half of an answer is
 * sent, but the digest is that of the whole.
 */
export function withDigest(outcome: Outcome, isCut: boolean): object {
  return match(outcome)
    .returnType<object>()
    .with({ kind: 'succeeded' }, ({ answer }) => ({
      kind: 'succeeded',
      answer: isCut ? firstHalfOf(answer) : answer,
      ...digestOf(answer),
    }))
    .with({ kind: 'stopped' }, ({ checkpoint }) =>
      checkpoint === undefined
        ? { kind: 'stopped' }
        : { kind: 'checkpointed', checkpoint, ...digestOf(checkpoint) },
    )
    .otherwise((other) => other);
}

function firstHalfOf(text: string): string {
  return text.slice(0, Math.floor(text.length / 2));
}

function digestOf(text: string): object {
  return {
    bytes: Buffer.byteLength(text, 'utf8'),
    sha256: createHash('sha256').update(text, 'utf8').digest('hex'),
  };
}

/** Remembers what was reported, so that only changes are sent. Reports lag by one heartbeat. */
export class UsageReports {
  private sample: readonly AttemptUsage[] = [];
  private readonly reported = new Map<AttemptId, string>();

  /** Forgets what was reported, so that the next report lists all attempts. */
  reset(): void {
    this.reported.clear();
  }

  /** Returns the changes up to the previous heartbeat. */
  next(running: Iterable<RunningAttempt>): AttemptUsage[] {
    const changed = this.sample.filter((usage) => this.isChanged(usage));
    this.sample = [...running].map(usageOf);
    return changed;
  }

  private isChanged(usage: AttemptUsage): boolean {
    const text = `${usage.millicores}/${usage.memoryMib}`;
    const isChanged = this.reported.get(usage.attempt) !== text;
    this.reported.set(usage.attempt, text);
    return isChanged;
  }
}

function usageOf({ attempt, demand, program, isThrottled }: RunningAttempt): AttemptUsage {
  const { millicores, memoryMib } = program.usage ?? demand;
  return {
    attempt,
    millicores: isThrottled ? Math.min(millicores, demand.millicores) : millicores,
    memoryMib: isThrottled ? Math.min(memoryMib, demand.memoryMib) : memoryMib,
  };
}
