/** Accepts durable work: validates and records it, and answers once the record was read back. */

import { match } from 'ts-pattern';
import type { Queue } from '@bamboowell/types/declarations';
import type { Sequence, WorkId } from '@bamboowell/types/ids';
import { fits, multiply, shortDimensions } from '@bamboowell/types/resources';
import { hasPassed, NEVER, type Deadline } from '@bamboowell/types/time';
import type { Effect } from '@bamboowell/types/records';
import type { Reason } from '@bamboowell/types/verdict';
import { taskCountOf, type Work } from '@bamboowell/types/work';
import { admit } from '@bamboowell/policy/admission';
import type { Context, RefusalCause } from './context.js';
import type { Token } from './messages.js';

interface Submission {
  readonly token: Token;
  readonly work: Work;
  readonly deadline: Deadline;
  withdrawing: boolean;
  answered: boolean;
}

export class Submissions {
  private readonly pending = new Map<Sequence, Submission>();

  constructor(private readonly context: Context) {}

  get size(): number {
    return this.pending.size;
  }

  submit(work: Work, deadline: Deadline, token: Token): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined) {
      this.context.refuseNotRun(token, NOT_OWNER);
      return;
    }
    // Before any refusal, because "not run" would be untrue of a request that was accepted before.
    const earlier = this.context.fold.findRequest(work.team, work.requestId);
    if (earlier !== undefined) {
      this.context.respond(token, { kind: 'accepted', work: earlier, repeated: true });
      return;
    }
    const cause = this.refusalCauseOf(work);
    if (cause !== undefined) {
      this.context.refuseNotRun(token, cause);
      return;
    }
    const sequence = this.context.append({ kind: 'accept', epoch, work });
    this.pending.set(sequence, { token, work, deadline, withdrawing: false, answered: false });
  }

  /** Answers the submission, as its record was read back. */
  settled(sequence: Sequence, effect: Effect): void {
    const submission = this.take(sequence);
    if (submission === undefined) {
      return;
    }
    const { token, work } = submission;
    match(effect)
      .with({ kind: 'applied' }, () => {
        this.context.respond(token, { kind: 'accepted', work: work.id, repeated: false });
      })
      .with({ kind: 'repeated' }, () => undefined)
      .with({ kind: 'void', reason: 'repeated_request' }, () => {
        this.respondEarlier(token, work);
      })
      .with({ kind: 'void' }, () => {
        this.context.refuse(token, 'not_run', 'owner_changed', 'another daemon owns the shard now');
      })
      .exhaustive();
  }

  /** Refuses the submission, as its record was never sent. */
  rejected(sequence: Sequence): void {
    const submission = this.take(sequence);
    if (submission !== undefined) {
      this.refuseUnsent(submission);
    }
  }

  /** Answers a submission at its deadline: its record was withdrawn, or it had been sent before. */
  withdrawn(sequence: Sequence, state: 'withdrawn' | 'sent'): void {
    const submission = this.pending.get(sequence);
    if (submission === undefined || submission.answered) {
      return;
    }
    if (state === 'withdrawn') {
      this.pending.delete(sequence);
      this.refuseUnsent(submission);
      return;
    }
    submission.answered = true;
    this.refuseMayHaveRun(
      submission,
      'outcome_unknown',
      'the log did not confirm the work in time',
    );
  }

  /** Withdraws records of submissions whose deadline has passed. */
  expire(): void {
    for (const [sequence, submission] of this.pending) {
      if (!submission.withdrawing && hasPassed(submission.deadline, this.context.now)) {
        submission.withdrawing = true;
        this.context.emit({ kind: 'withdraw', sequence });
      }
    }
  }

  /** Refuses all submissions after a change of owner. Sent records may still be read back. */
  abandon(): void {
    for (const submission of this.pending.values()) {
      if (!submission.answered) {
        this.refuseMayHaveRun(
          submission,
          'owner_changed',
          'the owner of the shard changed in the meantime',
        );
      }
    }
    this.pending.clear();
  }

  nextDeadline(): Deadline | undefined {
    let next: Deadline | undefined;
    for (const { deadline, withdrawing } of this.pending.values()) {
      if (!withdrawing && (next === undefined || deadline < next)) {
        next = deadline;
      }
    }
    return next;
  }

  /** Why work, durable or not, can't be accepted now; undefined if it can. */
  refusalCauseOf(work: Work): RefusalCause | undefined {
    if (!this.context.mayStart) {
      return this.context.ownedEpoch === undefined ? NOT_OWNER : NOT_FRESH;
    }
    if (this.context.draining) {
      return { reason: 'shutting_down', detail: 'this daemon is shutting down' };
    }
    return this.queueRefusalCause(work) ?? this.sizeRefusalCause(work);
  }

  private queueRefusalCause(work: Work): RefusalCause | undefined {
    const queue = this.context.cell?.configuration.queues.get(work.queue);
    if (queue === undefined) {
      return { reason: 'unknown_queue', detail: `there is no queue ${work.queue}` };
    }
    if (!isOpenTo(queue, work)) {
      return {
        reason: 'queue_not_open_to_team',
        detail: `queue ${queue.id} is not open to team ${work.team}`,
      };
    }
    return this.loadRefusalCause(work, queue);
  }

  private loadRefusalCause(work: Work, queue: Queue): RefusalCause | undefined {
    const { ordering, now } = this.context;
    const load = {
      waitingInQueue: ordering.waitingInQueue(queue.id),
      waitingOfTeam: ordering.waitingOfTeam(work.team),
      waitingInShard: ordering.size,
      estimatedStart: now,
    };
    const admitted = admit({ team: work.team, queue, startBy: NEVER }, load, now);
    return admitted.kind === 'refused' ? admitted.refusal : undefined;
  }

  private sizeRefusalCause(work: Work): RefusalCause | undefined {
    const limit = this.context.cell?.configuration.teams.get(work.team)?.limit;
    const gangSize = work.shape.kind === 'gang' ? taskCountOf(work.shape) : 1;
    const need = multiply(work.demand, gangSize);
    if (limit !== undefined && !fits(need, limit)) {
      const short = shortDimensions(need, limit).join(', ');
      return {
        reason: 'impossible_size',
        detail: `needs more than the upper limit of team ${work.team} in ${short}`,
        field: 'demand',
      };
    }
    if (this.context.listedWorkerCount === 0) {
      return {
        reason: 'no_worker_fits',
        detail: `data centre ${this.context.options.shard} has no workers; name another one`,
        field: 'dataCentre',
      };
    }
    if (!this.context.fleet.isEmpty() && !this.context.fleet.couldEverHold(work.demand)) {
      return {
        reason: 'impossible_size',
        detail: 'no worker of the shard is large enough for one task',
        field: 'demand',
      };
    }
    if (this.exceedsListedWorkers(work, gangSize)) {
      return {
        reason: 'impossible_size',
        detail: 'all workers of the shard together are too small for the gang',
        field: 'demand',
      };
    }
    return undefined;
  }

  /**
   * Whether the gang would not fit on as many workers as are listed if all were like the known one that holds
   * most of its tasks: some may not be attached yet.
   */
  private exceedsListedWorkers({ demand }: Work, gangSize: number): boolean {
    const { fleet, listedWorkerCount } = this.context;
    return (
      listedWorkerCount !== undefined &&
      !fleet.isEmpty() &&
      Math.max(listedWorkerCount, fleet.size) * fleet.mostOnOneWorker(demand) < gangSize
    );
  }

  private respondEarlier(token: Token, work: Work): void {
    const earlier: WorkId | undefined = this.context.fold.findRequest(work.team, work.requestId);
    this.context.respond(token, { kind: 'accepted', work: earlier ?? work.id, repeated: true });
  }

  private refuseUnsent({ token }: Submission): void {
    this.context.refuse(
      token,
      'not_run',
      'log_unavailable',
      'the log did not accept the work in time, and it was withdrawn',
    );
  }

  private refuseMayHaveRun({ token, work }: Submission, reason: Reason, detail: string): void {
    this.context.refuse(token, 'may_have_run', reason, detail, work.id);
  }

  private take(sequence: Sequence): Submission | undefined {
    const submission = this.pending.get(sequence);
    this.pending.delete(sequence);
    return submission?.answered === true ? undefined : submission;
  }
}

const NOT_OWNER: RefusalCause = {
  reason: 'no_owner',
  detail: 'this daemon does not own the shard',
};
const NOT_FRESH: RefusalCause = {
  reason: 'not_fresh',
  detail: 'this daemon cannot show that it still owns the shard',
};

function isOpenTo(queue: Queue, work: Work): boolean {
  return queue.access.kind === 'open'
    ? queue.access.team === work.team
    : queue.access.teams.includes(work.team);
}
