/** A member as its owner uses it: to ask for advice, and to be told of trouble. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Connection } from '@bamboowell/wire/connection';
import type { MemberId, WorkerId } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import type { AdviceAnswer, AdvicePort } from './ports.js';
import { METHODS } from './owner-channel.js';

export interface AdviceRequest {
  readonly step: StepId;
  readonly workers: readonly WorkerId[];
  /** An answer after this, milliseconds, is good for nothing. */
  readonly waitMillis: number;
}

export abstract class MemberPort {
  constructor(
    readonly member: MemberId,
    readonly region: string,
  ) {}

  abstract advise(question: AdviceRequest): Promise<AdviceAnswer>;

  /** Tells whether the owner can write to the store. */
  abstract notifyTrouble(isTroubled: boolean): void;

  /** Tells that the owner has taken the work over. */
  abstract notifyServing(): void;
}

/** The owner's own process. */
export class LocalMember extends MemberPort {
  constructor(
    member: MemberId,
    region: string,
    private readonly port: AdvicePort,
    private readonly clock: Clock,
  ) {
    super(member, region);
  }

  advise({ step, workers, waitMillis }: AdviceRequest): Promise<AdviceAnswer> {
    return this.port.ask(step, workers, deadlineAfter(this.clock.now(), waitMillis));
  }

  notifyTrouble(): void {
    // The owner knows its own trouble.
  }

  notifyServing(): void {
    // The owner knows that it serves.
  }
}

/** The way to another member and back adds at most this, milliseconds. */
const WAY_MILLIS = 200;

export class RemoteMember extends MemberPort {
  constructor(
    member: MemberId,
    region: string,
    private readonly connection: Connection,
    private readonly clock: Clock,
  ) {
    super(member, region);
  }

  async advise(question: AdviceRequest): Promise<AdviceAnswer> {
    const limit = deadlineAfter(this.clock.now(), question.waitMillis + WAY_MILLIS);
    const answer = await this.connection.request(METHODS.advise, question, limit);
    return answer.kind === 'answered'
      ? (answer.value as AdviceAnswer)
      : { kind: 'unanswered', detail: answer.kind };
  }

  notifyTrouble(isTroubled: boolean): void {
    this.connection.notify(METHODS.trouble, { isTroubled });
  }

  notifyServing(): void {
    this.connection.notify(METHODS.serving, {});
  }
}
