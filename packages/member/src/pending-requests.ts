/** Requests that the scheduler has not answered yet, and answers that wait for the store's word. */

import type { Reply } from '@bamboowell/kernel/ask';
import { brandAs } from '@bamboowell/types/ids';
import type { JobAnswer, JobInput, JobToken } from '@bamboowell/jobs/messages';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';

export class PendingRequests {
  private readonly pending = new Map<JobToken, Reply<OwnerReply>>();
  /** Answers that a job does not exist, until the store has shown that the work is still ours. */
  private readonly unproved: JobToken[] = [];
  private lastToken = 0;

  get size(): number {
    return this.pending.size;
  }

  /** Keeps the request; returns what the scheduler is told of it. */
  add(request: OwnerRequest, reply: Reply<OwnerReply>): JobInput {
    this.lastToken += 1;
    const token = brandAs<JobToken>(this.lastToken);
    this.pending.set(token, reply);
    return inputOf(request, token);
  }

  answer(token: JobToken, answer: JobAnswer, isProved: boolean): void {
    if (answer.kind === 'unknown_job' && !isProved) {
      this.unproved.push(token);
      return;
    }
    this.reply(token, { kind: 'answered', answer });
  }

  /** The store has shown that the work is still ours. */
  ownershipConfirmed(): void {
    this.unproved.splice(0).forEach((token) => {
      this.reply(token, { kind: 'answered', answer: { kind: 'unknown_job' } });
    });
  }

  /** What was asked for may have been done or not. */
  dropAll(): void {
    this.unproved.splice(0);
    [...this.pending.keys()].forEach((token) => {
      this.reply(token, { kind: 'unknown' });
    });
  }

  private reply(token: JobToken, reply: OwnerReply): void {
    const pending = this.pending.get(token);
    this.pending.delete(token);
    pending?.(reply);
  }
}

function inputOf(request: OwnerRequest, token: JobToken): JobInput {
  switch (request.kind) {
    case 'submit':
      return { kind: 'submit', plan: request.plan, token };
    case 'cancel':
      return { kind: 'cancel', job: request.job, token };
    case 'query':
      return { kind: 'query', job: request.job, token };
    case 'count':
      return { kind: 'count', queue: request.queue, token };
  }
}
