/** Requests placement advice for the owner, through any member of the cluster. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobInput, JobOutput } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import type { MemberPort } from './member-port.js';
import type { OwnerMessage } from './owner-messages.js';

/** Calls that may be queued at a member; each waits for those before it. */
const MAX_QUEUED_CALLS = 3;
/** Time added to the expected duration of a call before it times out. */
const ADVICE_SLACK_MILLIS = 1500;

type AdviceOutput = Extract<JobOutput, { kind: 'ask_advice' }>;
type AdvisedMessage = Extract<OwnerMessage, { kind: 'advised' }>;

export class AdviceCalls {
  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
    /** Receives `advised` for each answer. */
    private readonly owner: MailboxAddress<OwnerMessage>,
  ) {}

  /** @param port the member that makes the call; undefined if it is gone. */
  ask(term: Term, port: MemberPort | undefined, { step, workers, timing }: AdviceOutput): void {
    const askedAt = this.clock.now();
    const expected = timing.baseMillis + timing.perWorkerMillis * workers.length;
    const waitMillis = Math.round(MAX_QUEUED_CALLS * expected + ADVICE_SLACK_MILLIS);
    const answer =
      port?.advise({ step, workers, waitMillis }) ??
      Promise.resolve({ kind: 'unanswered' as const, detail: 'the member is gone' });
    void answer.then((value) => {
      const tookMillis = this.clock.now() - askedAt;
      this.owner.post({ kind: 'advised', term, step, answer: value, tookMillis });
    });
  }

  /** Converts an answer to an input of the scheduler. */
  inputOf({ step, answer, tookMillis }: AdvisedMessage): JobInput {
    if (answer.kind === 'granted') {
      const until = deadlineAfter(this.clock.now(), answer.validMillis);
      return { kind: 'advice', step, granted: answer.granted, until, tookMillis };
    }
    const detail = answer.kind === 'unanswered' ? answer.detail : '';
    this.events.event('advice.missed', { step, answer: answer.kind, detail });
    return { kind: 'no_advice', step };
  }
}
