/** Has members ask for advice on the owner's behalf. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobInput, JobOutput } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import type { MemberPort } from './member-port.js';
import type { OwnerMessage } from './owner-messages.js';

/** Calls of a member that may be open before one; each waits for those before it. */
const CALLS_IN_TURN = 3;
/** Advice that takes longer than its terms say by this, milliseconds, is given up. */
const ADVICE_SLACK_MILLIS = 1500;

type Question = Extract<JobOutput, { kind: 'ask_advice' }>;
type Answer = Extract<OwnerMessage, { kind: 'advised' }>;

export class AdviceCalls {
  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
    /** Is told `advised` for each answer. */
    private readonly owner: MailboxAddress<OwnerMessage>,
  ) {}

  /** @param port the member that is to ask; absent if it is gone. */
  ask(term: Term, port: MemberPort | undefined, { step, workers, terms }: Question): void {
    const askedAt = this.clock.now();
    const expected = terms.baseMillis + terms.perWorkerMillis * workers.length;
    const waitMillis = Math.round(CALLS_IN_TURN * expected + ADVICE_SLACK_MILLIS);
    const answer =
      port?.advise({ step, workers, waitMillis }) ??
      Promise.resolve({ kind: 'unanswered' as const, detail: 'the member is gone' });
    void answer.then((value) => {
      const tookMillis = this.clock.now() - askedAt;
      this.owner.post({ kind: 'advised', term, step, answer: value, tookMillis });
    });
  }

  /** What the scheduler is told of an answer. */
  inputOf({ step, answer, tookMillis }: Answer): JobInput {
    if (answer.kind === 'granted') {
      const until = deadlineAfter(this.clock.now(), answer.validMillis);
      return { kind: 'advice', step, granted: answer.granted, until, tookMillis };
    }
    const detail = answer.kind === 'unanswered' ? answer.detail : '';
    this.events.event('advice.missed', { step, answer: answer.kind, detail });
    return { kind: 'no_advice', step };
  }
}
