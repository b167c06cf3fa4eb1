/** Requests of callers, without their encoding, and what they are told. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { JobConfiguration, JobId, JobPlan, JobState } from '@bamboowell/types/job';
import type { Decoded } from './ports.js';
import type { OwnerChannel, OwnerReply } from './owner-channel.js';

/** What a submitted job consists of; its id, queue and team come from the request. */
export type JobBody = Pick<JobPlan, 'payload' | 'steps' | 'repetition'>;

export interface JobRequest {
  readonly verb: 'submit' | 'query' | 'cancel';
  readonly host: string;
  readonly path: string;
  /** The key that the caller showed, if any. */
  readonly key: string | undefined;
  /** How long the caller waits, milliseconds, if it said so. */
  readonly waitMillis: number | undefined;
  /** Of a `submit`. */
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
  /** Not run, and never will be; worth another try after `retryAfterSeconds`. */
  | {
      readonly kind: 'refused';
      readonly reason: 'no_configuration' | 'no_owner' | 'overloaded';
      readonly retryAfterSeconds: number;
    }
  /** Whether it took effect is not known. */
  | { readonly kind: 'undecided' };

export type GatewayMessage =
  | { readonly kind: 'request'; readonly request: JobRequest; readonly reply: Reply<JobReply> }
  | { readonly kind: 'configuration'; readonly configuration: JobConfiguration }
  | { readonly kind: 'owner'; readonly channel: OwnerChannel | undefined }
  | { readonly kind: 'ready'; readonly reply: Reply<boolean> }
  | { readonly kind: 'settled'; readonly id: number; readonly reply: OwnerReply }
  | { readonly kind: 'again'; readonly id: number }
  | { readonly kind: 'expired'; readonly id: number }
  /** Says no more that it is ready. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'idle'; readonly reply: Reply<boolean> }
  /** Answers all that is in hand at once: the process is about to end. */
  | { readonly kind: 'finish' };

/** The shape of a job's id. */
export function isJobId(text: string): text is JobId {
  return /^[0-9a-fA-F]{16}$/.test(text);
}
