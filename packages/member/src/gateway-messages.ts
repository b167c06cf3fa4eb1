/** Callers' requests and their replies, independent of the encoding, and the messages to the gateway. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { JobId, JobPlan, JobState } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import type { ConfigurationUpdate } from './configuration-task.js';
import type { Decoded } from './ports.js';
import type { OwnerChannel, OwnerReply } from './owner-channel.js';

/** Body of a submitted job; its id, queue and team come from the request. */
export type JobBody = Pick<JobPlan, 'payload' | 'steps' | 'repetition'>;

export interface JobRequest {
  readonly verb: 'submit' | 'query' | 'cancel';
  readonly host: string;
  readonly path: string;
  /** The API key of the caller, if any. */
  readonly key: string | undefined;
  /** How long the caller waits, if it says so. */
  readonly waitMillis: number | undefined;
  /** Only for `submit`. */
  readonly body: Decoded<JobBody> | undefined;
}

export type JobReply =
  | { readonly kind: 'accepted'; readonly repeated: boolean }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'state'; readonly state: JobState }
  | { readonly kind: 'count'; readonly waiting: number }
  | { readonly kind: 'unknown_queue' }
  | { readonly kind: 'unknown_key' }
  | { readonly kind: 'unknown_job' }
  | { readonly kind: 'malformed'; readonly detail: string }
  /**
   * The request has not been carried out and never will be; the caller may retry after
   * `retryAfterSeconds`.
   */
  | {
      readonly kind: 'refused';
      readonly reason:
        | 'no_configuration'
        | 'configuration_unconfirmed'
        | 'no_owner'
        | 'overloaded'
        /** The store took nothing while the caller waited; no record of the job was sent to it. */
        | 'store_unavailable';
      readonly retryAfterSeconds: number;
    }
  /** It isn't known whether the request took effect. */
  | { readonly kind: 'undecided' };

export type GatewayMessage =
  | { readonly kind: 'request'; readonly request: JobRequest; readonly reply: Reply<JobReply> }
  | ConfigurationUpdate
  | { readonly kind: 'owner'; readonly channel: OwnerChannel | undefined }
  /** An operator asks where a job would go now; callers can't. */
  | {
      readonly kind: 'preview';
      readonly plan: JobPlan;
      readonly by: Deadline;
      readonly reply: Reply<OwnerReply>;
    }
  | { readonly kind: 'ready'; readonly reply: Reply<boolean> }
  | { readonly kind: 'owner_replied'; readonly id: number; readonly reply: OwnerReply }
  | { readonly kind: 'retry'; readonly id: number }
  | { readonly kind: 'expired'; readonly id: number }
  /** Reports from here on that the member isn't ready. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'idle'; readonly reply: Reply<boolean> }
  /** Answers all pending requests at once, because the process is about to end. */
  | { readonly kind: 'finish' };

/** Whether the text has the form of a job id. */
export function isJobId(text: string): text is JobId {
  return /^[0-9a-fA-F]{16}$/.test(text);
}
