/** How a request reaches the owner, be it this process or another. */

import type { Connection, WireAnswer } from '@bamboowell/wire/connection';
import type { Deadline } from '@bamboowell/types/time';
import type { JobAnswer } from '@bamboowell/jobs/messages';
import type { JobId, JobPlan } from '@bamboowell/types/job';
import type { QueueId } from '@bamboowell/types/ids';

/** What members ask the owner on behalf of callers. */
export type OwnerRequest =
  | { readonly kind: 'submit'; readonly plan: JobPlan }
  | { readonly kind: 'cancel'; readonly job: JobId }
  | { readonly kind: 'query'; readonly job: JobId }
  | { readonly kind: 'count'; readonly queue: QueueId };

/** What came of a request. */
export type OwnerReply =
  | { readonly kind: 'answered'; readonly answer: JobAnswer }
  /** It was not taken: it has changed nothing. */
  | { readonly kind: 'not_taken' }
  | { readonly kind: 'unknown' };

/** Methods between members; each takes and returns the types named beside it. */
export const METHODS = {
  /** Member to owner: `Hello`, answered by `Welcome`. */
  hello: 'hello',
  /** Member to owner: `OwnerRequest`, answered by `OwnerReply`. */
  request: 'request',
  /** Owner to member: `AdviceQuestion`, answered by `AdviceAnswer` and the time that it took. */
  advise: 'advise',
  /** Owner to member, no answer: whether it can write to the store. */
  trouble: 'trouble',
  /** Owner to member, no answer: it has taken the work over and takes requests. */
  serving: 'serving',
  /** Both ways, no answer: a `Claim` that the other end may not have seen. */
  claim: 'claim',
  /** Both ways, no answer: an operator's document that the other end may lack. */
  configuration: 'configuration',
} as const;

export abstract class OwnerChannel {
  abstract ask(request: OwnerRequest, limit: Deadline): Promise<OwnerReply>;
}

/** The owner is another member. */
export class RemoteOwner extends OwnerChannel {
  constructor(private readonly connection: Connection) {
    super();
  }

  async ask(request: OwnerRequest, limit: Deadline): Promise<OwnerReply> {
    return replyOf(await this.connection.request(METHODS.request, request, limit));
  }
}

function replyOf(answer: WireAnswer): OwnerReply {
  switch (answer.kind) {
    case 'answered':
      return answer.value as OwnerReply;
    case 'not_sent':
      return { kind: 'not_taken' };
    case 'failed':
    case 'unknown':
      return { kind: 'unknown' };
  }
}
