/**
 * The owner's view of a member, which calls the adviser for the owner and is notified of the
 * owner's state.
 */

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
  /** How long the answer is of use. */
  readonly waitMillis: number;
}

export abstract class MemberPort {
  constructor(
    readonly member: MemberId,
    readonly region: string,
  ) {}

  abstract advise(request: AdviceRequest): Promise<AdviceAnswer>;

  /** Notifies the member whether the owner can write to the store. */
  abstract notifyTrouble(isTroubled: boolean): void;

  /** Notifies the member that the owner has taken the work over. */
  abstract notifyServing(): void;
}

/** The member in the owner's own process. */
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
    // The local owner needs no notification.
  }

  notifyServing(): void {
    // The local owner needs no notification.
  }
}

/** Upper bound of the round trip to another member. */
const MAX_ROUND_TRIP_MILLIS = 200;

export class RemoteMember extends MemberPort {
  constructor(
    member: MemberId,
    region: string,
    private readonly connection: Connection,
    private readonly clock: Clock,
  ) {
    super(member, region);
  }

  async advise(request: AdviceRequest): Promise<AdviceAnswer> {
    const deadline = deadlineAfter(this.clock.now(), request.waitMillis + MAX_ROUND_TRIP_MILLIS);
    const answer = await this.connection.request(METHODS.advise, request, deadline);
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
