/**
 * The owner's view of a member, which calls the adviser for the owner and is notified of the
 * owner's state.
 */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Connection } from '@bamboowell/wire/connection';
import type { Incarnation, MemberId, WorkerId } from '@bamboowell/types/ids';
import type { StepId, Term } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { AdviceAnswer, AdvicePort } from './ports.js';
import { METHODS } from './owner-channel.js';
import type { MemberSettings } from './settings.js';

export interface AdviceRequest {
  readonly step: StepId;
  readonly workers: readonly WorkerId[];
  /** How long the answer is of use. */
  readonly waitMillis: number;
}

/** Asks a member whether it has claimed the work that the owner of the term owns. */
export interface Attestation {
  readonly term: Term;
}

export abstract class MemberPort {
  constructor(
    readonly member: MemberId,
    readonly region: string,
    /** The member's process; undefined for earlier builds. */
    readonly incarnation: Incarnation | undefined,
  ) {}

  abstract advise(request: AdviceRequest): Promise<AdviceAnswer>;

  /** Asks the member; resolves to false as well if it doesn't answer by the deadline. */
  abstract attest(attestation: Attestation, deadline: Deadline): Promise<boolean>;

  /** Notifies the member whether the owner can write to the store. */
  abstract notifyTrouble(isTroubled: boolean): void;

  /** Notifies the member that the owner has taken the work over. */
  abstract notifyServing(): void;
}

/** The member in the owner's own process. */
export class LocalMember extends MemberPort {
  constructor(
    { member, region, incarnation }: MemberSettings,
    private readonly port: AdvicePort,
    private readonly clock: Clock,
  ) {
    super(member, region, incarnation);
  }

  advise({ step, workers, waitMillis }: AdviceRequest): Promise<AdviceAnswer> {
    return this.port.ask(step, workers, deadlineAfter(this.clock.now(), waitMillis));
  }

  /** The owner's own process claims nothing while it owns the work. */
  attest(): Promise<boolean> {
    return Promise.resolve(true);
  }

  notifyTrouble(): void {
    // The local owner needs no notification.
  }

  notifyServing(): void {
    // The local owner needs no notification.
  }
}

/** How a member names itself to the owner. */
export interface MemberName {
  readonly member: MemberId;
  readonly region: string;
  /** Absent from earlier builds. */
  readonly incarnation?: Incarnation;
}

/** Upper bound of the round trip to another member. */
const MAX_ROUND_TRIP_MILLIS = 200;

export class RemoteMember extends MemberPort {
  constructor(
    { member, region, incarnation }: MemberName,
    private readonly connection: Connection,
    private readonly clock: Clock,
  ) {
    super(member, region, incarnation);
  }

  async advise(request: AdviceRequest): Promise<AdviceAnswer> {
    const deadline = deadlineAfter(this.clock.now(), request.waitMillis + MAX_ROUND_TRIP_MILLIS);
    const answer = await this.connection.request(METHODS.advise, request, deadline);
    return answer.kind === 'answered'
      ? (answer.value as AdviceAnswer)
      : { kind: 'unanswered', detail: answer.kind };
  }

  async attest(attestation: Attestation, deadline: Deadline): Promise<boolean> {
    const answer = await this.connection.request(METHODS.attest, attestation, deadline);
    return answer.kind === 'answered' && answer.value === true;
  }

  notifyTrouble(isTroubled: boolean): void {
    this.connection.notify(METHODS.trouble, { isTroubled });
  }

  notifyServing(): void {
    this.connection.notify(METHODS.serving, {});
  }
}
