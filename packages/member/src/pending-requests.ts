/**
 * Requests that the scheduler has not answered, and answers held back until the store confirms
 * ownership.
 */

import type { Reply } from '@bamboowell/kernel/ask';
import { brandAs } from '@bamboowell/types/ids';
import type { JobAnswer, JobInput, JobToken } from '@bamboowell/jobs/messages';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';

export class PendingRequests {
  private readonly pending = new Map<JobToken, Reply<OwnerReply>>();
  /**
   * Answers that a job does not exist, held back until the store confirms that this member still
   * owns the work.
   */
  private readonly unconfirmed: JobToken[] = [];
  private lastToken = 0;

  get size(): number {
    return this.pending.size;
  }

  /** Keeps the request and returns the scheduler input for it. */
  add(request: OwnerRequest, reply: Reply<OwnerReply>): JobInput {
    this.lastToken += 1;
    const token = brandAs<JobToken>(this.lastToken);
    this.pending.set(token, reply);
    return inputOf(request, token);
  }

  answer(token: JobToken, answer: JobAnswer, isOwnershipConfirmed: boolean): void {
    if (answer.kind === 'unknown_job' && !isOwnershipConfirmed) {
      this.unconfirmed.push(token);
      return;
    }
    this.reply(token, { kind: 'answered', answer });
  }

  /** The store has confirmed that this member owns the work: releases the answers held back. */
  ownershipConfirmed(): void {
    this.unconfirmed.splice(0).forEach((token) => {
      this.reply(token, { kind: 'answered', answer: { kind: 'unknown_job' } });
    });
  }

  /**
   * Answers all requests that their outcome is unknown.
   *
   * @param isWithoutEffect whether a request has changed nothing and never will.
   */
  dropAll(isWithoutEffect: (token: JobToken) => boolean): void {
    this.unconfirmed.splice(0);
    [...this.pending.keys()].forEach((token) => {
      this.reply(token, { kind: isWithoutEffect(token) ? 'not_taken' : 'unknown' });
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
      return {
        kind: 'submit',
        plan: request.plan,
        configuration: request.configuration,
        token,
      };
    case 'cancel':
      return { kind: 'cancel', job: request.job, token };
    case 'query':
      return { kind: 'query', job: request.job, token };
    case 'count':
      return { kind: 'count', queue: request.queue, token };
    case 'preview':
      return { kind: 'preview', plan: request.plan, token };
  }
}
