/** Sends requests to the owner, in this process or in another one. */

import type { Connection, WireAnswer } from '@bamboowell/wire/connection';
import type { Deadline } from '@bamboowell/types/time';
import type { JobAnswer } from '@bamboowell/jobs/messages';
import type { JobId, JobPlan } from '@bamboowell/types/job';
import type { QueueId } from '@bamboowell/types/ids';

/** Requests that members forward to the owner on behalf of callers. */
export type OwnerRequest = OwnerCall & {
  /** Version of the configuration by which the member checked the request. */
  readonly configuration: number;
  /** For how long the member waits for the answer, counted from the sending of the request. */
  readonly remainingMillis?: number;
};

export type OwnerCall =
  | { readonly kind: 'submit'; readonly plan: JobPlan }
  | { readonly kind: 'cancel'; readonly job: JobId }
  | { readonly kind: 'query'; readonly job: JobId }
  | { readonly kind: 'count'; readonly queue: QueueId }
  /** Only for operators: the answer tells of the work of all teams. */
  | { readonly kind: 'preview'; readonly plan: JobPlan };

/** Outcome of a request. */
export type OwnerReply =
  | { readonly kind: 'answered'; readonly answer: JobAnswer }
  /** The request was rejected and has changed nothing. */
  | { readonly kind: 'not_taken' }
  /**
   * The request was checked by an older configuration than the owner's, and has not been carried out.
   */
  | { readonly kind: 'outdated' }
  /** No answer: the request may or may not take effect. */
  | { readonly kind: 'unknown' };

/** Methods that members call on each other, with the types of their parameters and results. */
export const METHODS = {
  /** Member to owner: `Hello`, answered by `HelloReply`. */
  hello: 'hello',
  /** Member to owner: `OwnerRequest`, answered by `OwnerReply`. */
  request: 'request',
  /**
   * Member to owner: an `OwnerRequest` of the kind `preview`, answered by `OwnerReply`. Owners of earlier versions
   * refuse the method; as a request its unknown kind would end their processes.
   */
  preview: 'preview',
  /** Owner to member: `AdviceRequest`, answered by `AdviceAnswer`. */
  advise: 'advise',
  /** Notification from owner to member: whether the owner can write to the store. */
  trouble: 'trouble',
  /** Notification from owner to member: the owner has taken the work over and accepts requests. */
  serving: 'serving',
  /** Owner to member: `Attestation`, answered by whether the member has not claimed the work. */
  attest: 'attest',
  /** Notification from member to owner: the member has not claimed the work, and won't any more. */
  departure: 'departure',
  /** Notification in both directions: a `Claim` that the other end may not have seen. */
  claim: 'claim',
  /** Notification to a member of the same region: the sender follows it for the configuration. */
  follow: 'follow',
  /** Notification from owner to member: a list of `KnownMember`. */
  members: 'members',
  /** Notification in both directions: the version of the configuration that the sender has. */
  configuration: 'configuration_version',
  /** Request in both directions, answered by the store's record of the configuration, or null. */
  document: 'configuration_document',
} as const;

export abstract class OwnerChannel {
  abstract ask(request: OwnerRequest, deadline: Deadline): Promise<OwnerReply>;
}

/** Channel to an owner in another process. */
export class RemoteOwner extends OwnerChannel {
  constructor(private readonly connection: Connection) {
    super();
  }

  async ask(request: OwnerRequest, deadline: Deadline): Promise<OwnerReply> {
    const method = request.kind === 'preview' ? METHODS.preview : METHODS.request;
    return replyOf(await this.connection.request(method, request, deadline));
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
