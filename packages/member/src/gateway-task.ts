/**
 * Entry point of callers' requests: validates them, forwards them to the owner and answers before
 * the caller times out.
 */

import { match } from 'ts-pattern';
import type { Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobAnswer } from '@bamboowell/jobs/messages';
import type { TeamId } from '@bamboowell/types/ids';
import type { JobPlan } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import { ageMillis } from './configuration-task.js';
import {
  isJobId,
  type GatewayMessage,
  type JobReply,
  type JobRequest,
} from './gateway-messages.js';
import type { OwnerChannel, OwnerReply, OwnerRequest } from './owner-channel.js';
import { Routes, type Route } from './routes.js';

/** An answer is sent this long before the caller times out, so that it still arrives. */
const ANSWER_MARGIN_MILLIS = 120;
/** Pause before a request that the owner rejected or left unanswered is sent again. */
const RETRY_DELAY_MILLIS = 60;
/** Maximum number of pending requests; further ones are refused. */
const MAX_PENDING = 4000;
/**
 * A member that has had no serving owner to forward requests to for this long reports that it isn't
 * ready, because other members may still reach one.
 */
const OWNERLESS_TIMEOUT_MILLIS = 2500;
/** When a refused caller should try again: about the duration of a change of owner. */
const RETRY_AFTER_SECONDS = 1;

interface Pending {
  readonly request: JobRequest;
  /** The request as checked by the configuration that it names. */
  ownerRequest: OwnerRequest;
  readonly reply: Reply<JobReply>;
  readonly since: Instant;
  readonly deadline: Deadline;
  readonly alarm: Alarm;
  /** Whether an owner may have carried it out. */
  mayHaveRun: boolean;
  isInFlight: boolean;
  tries: number;
}

export class GatewayTask extends Task<GatewayMessage> {
  private routes: Routes | undefined;
  /** When `routes` were last known to be those of the latest configuration. */
  private confirmedAt: Instant | undefined;
  private channel: OwnerChannel | undefined;
  private ownerlessSince: Instant | undefined;
  private hadOwner = false;
  private isDraining = false;
  private isFinishing = false;
  private lastId = 0;
  private readonly pending = new Map<number, Pending>();

  /** @param configurationLifetimeMillis how long a configuration counts as the latest once confirmed. */
  constructor(
    private readonly events: EventLog,
    clock: Clock,
    private readonly configurationLifetimeMillis: number,
  ) {
    super('gate', clock, GATEWAY_MAILBOX_CAPACITY);
    this.ownerlessSince = clock.now();
  }

  protected receive(message: GatewayMessage): void {
    match(message)
      .with({ kind: 'request' }, ({ request, reply }) => {
        this.accept(request, reply);
      })
      .with({ kind: 'configuration' }, ({ configuration }) => {
        this.routes = new Routes(configuration);
        this.events.event('configuration.applied', {
          by: 'gateway',
          version: configuration.version,
        });
      })
      .with({ kind: 'configuration_confirmed' }, ({ at }) => {
        this.confirmedAt = at;
      })
      .with({ kind: 'owner' }, ({ channel }) => {
        this.setChannel(channel);
      })
      .with({ kind: 'preview' }, ({ plan, by, reply }) => {
        this.preview(plan, by, reply);
      })
      .with({ kind: 'ready' }, ({ reply }) => {
        reply(this.isReady());
      })
      .with({ kind: 'owner_replied' }, ({ id, reply }) => {
        this.ownerReplied(id, reply);
      })
      .with({ kind: 'retry' }, ({ id }) => {
        const pending = this.pending.get(id);
        if (pending !== undefined) {
          this.sendToOwner(id, pending);
        }
      })
      .with({ kind: 'expired' }, ({ id }) => {
        this.expire(id);
      })
      .with({ kind: 'drain' }, () => {
        this.isDraining = true;
      })
      .with({ kind: 'idle' }, ({ reply }) => {
        reply(this.pending.size === 0);
      })
      .with({ kind: 'finish' }, () => {
        this.isFinishing = true;
        [...this.pending.keys()].forEach((id) => {
          this.expire(id);
        });
      })
      .exhaustive();
  }

  private preview(plan: JobPlan, by: Deadline, reply: Reply<OwnerReply>): void {
    const configuration = this.routes?.configuration.version;
    if (this.channel === undefined || configuration === undefined) {
      reply({ kind: 'not_taken' });
      return;
    }
    const since = this.clock.now();
    void this.channel.ask({ kind: 'preview', plan, configuration }, by).then((answer) => {
      const millis = Math.round(this.clock.now() - since);
      this.events.event('preview.answered', { queue: plan.queue, outcome: answer.kind, millis });
      reply(answer);
    });
  }

  private isReady(): boolean {
    const now = this.clock.now();
    const since = this.ownerlessSince;
    const hasOwner =
      since === undefined || (this.hadOwner && now - since < OWNERLESS_TIMEOUT_MILLIS);
    return this.routes !== undefined && hasOwner && !this.isDraining;
  }

  private setChannel(channel: OwnerChannel | undefined): void {
    this.channel = channel;
    if (channel === undefined) {
      this.ownerlessSince ??= this.clock.now();
      return;
    }
    this.ownerlessSince = undefined;
    this.hadOwner = true;
    for (const [id, pending] of this.pending) {
      this.sendToOwner(id, pending);
    }
  }

  private accept(request: JobRequest, reply: Reply<JobReply>): void {
    const { routes } = this;
    if (routes === undefined) {
      this.refuse(request, reply, 'no_configuration');
      return;
    }
    const checked = check(routes, request);
    if (!this.mayRestOn(checked)) {
      this.refuse(request, reply, 'configuration_unconfirmed');
      return;
    }
    if (checked.kind !== 'request') {
      this.log(request.path, request.verb, checked.kind, routes.configuration.version, 0);
      reply(checked);
      return;
    }
    if (this.isFinishing) {
      this.refuse(request, reply, 'no_owner');
      return;
    }
    if (this.pending.size >= MAX_PENDING) {
      this.refuse(request, reply, 'overloaded');
      return;
    }
    this.enqueue(checked, request, reply);
  }

  /**
   * Whether the configuration is recent enough for the outcome of a check. A refusal and a count say
   * nothing but what the configuration has; what the owner decides is checked there once more.
   */
  private mayRestOn(checked: Checked): boolean {
    const restsOnConfiguration =
      checked.kind === 'unknown_queue' ||
      checked.kind === 'unknown_key' ||
      (checked.kind === 'request' && checked.request.kind === 'count');
    return !restsOnConfiguration || this.isConfigurationConfirmed();
  }

  private isConfigurationConfirmed(): boolean {
    return (
      this.confirmedAt !== undefined &&
      this.clock.now() - this.confirmedAt <= this.configurationLifetimeMillis
    );
  }

  private refuse(request: JobRequest, reply: Reply<JobReply>, reason: RefusalReason): void {
    this.log(request.path, request.verb, reason, this.routes?.configuration.version ?? 0, 0);
    reply(refusalWith(reason));
  }

  private enqueue(
    { request: ownerRequest, route: { queue } }: CheckedRequest,
    request: JobRequest,
    reply: Reply<JobReply>,
  ): void {
    this.lastId += 1;
    const id = this.lastId;
    const now = this.clock.now();
    const waitMillis = Math.min(request.waitMillis ?? queue.timeoutMillis, queue.timeoutMillis);
    const deadline = deadlineAfter(
      now,
      Math.max(waitMillis - ANSWER_MARGIN_MILLIS, waitMillis / 2),
    );
    const pending: Pending = {
      request,
      ownerRequest,
      reply,
      since: now,
      deadline,
      alarm: this.postAt(deadline, { kind: 'expired', id }),
      mayHaveRun: false,
      isInFlight: false,
      tries: 0,
    };
    this.pending.set(id, pending);
    this.sendToOwner(id, pending);
  }

  private sendToOwner(id: number, pending: Pending): void {
    const { channel } = this;
    if (channel === undefined || pending.isInFlight || !this.recheck(id, pending)) {
      return;
    }
    pending.isInFlight = true;
    pending.tries += 1;
    // One copy at a time: a second one on the same connection would only queue behind the first, and
    // if the first is lost its connection ends.
    const remainingMillis = Math.round(pending.deadline - this.clock.now());
    const request = { ...pending.ownerRequest, remainingMillis };
    void channel.ask(request, pending.deadline).then((reply) => {
      this.post({ kind: 'owner_replied', id, reply });
    });
  }

  /**
   * Checks the request again if the configuration has changed. Returns whether it is still allowed;
   * otherwise it has been answered.
   */
  private recheck(id: number, pending: Pending): boolean {
    const { routes } = this;
    if (
      routes === undefined ||
      routes.configuration.version === pending.ownerRequest.configuration
    ) {
      return true;
    }
    const checked = check(routes, pending.request);
    if (checked.kind === 'request') {
      pending.ownerRequest = checked.request;
      return true;
    }
    const refusal: JobReply = this.mayRestOn(checked)
      ? checked
      : refusalWith('configuration_unconfirmed');
    this.finish(id, pending, pending.mayHaveRun ? { kind: 'undecided' } : refusal);
    return false;
  }

  private ownerReplied(id: number, reply: OwnerReply): void {
    const pending = this.pending.get(id);
    if (pending === undefined) {
      return;
    }
    pending.isInFlight = false;
    const answer = reply.kind === 'answered' ? replyOf(reply.answer) : undefined;
    if (answer !== undefined) {
      this.finish(id, pending, answer);
      return;
    }
    pending.mayHaveRun ||= reply.kind === 'unknown';
    this.postAt(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS), { kind: 'retry', id });
  }

  private expire(id: number): void {
    const pending = this.pending.get(id);
    if (pending === undefined) {
      return;
    }
    const isUndecided = pending.mayHaveRun || pending.isInFlight;
    this.finish(id, pending, isUndecided ? { kind: 'undecided' } : refusalWith('no_owner'));
  }

  private finish(id: number, pending: Pending, reply: JobReply): void {
    this.pending.delete(id);
    pending.alarm.cancel();
    const outcome = reply.kind === 'refused' ? reply.reason : reply.kind;
    const millis = Math.round(this.clock.now() - pending.since);
    if (reply.kind !== 'state' && reply.kind !== 'count') {
      const { request, ownerRequest, tries } = pending;
      this.log(request.path, request.verb, outcome, ownerRequest.configuration, millis, tries);
    }
    pending.reply(reply);
  }

  private log(
    path: string,
    verb: string,
    outcome: string,
    configuration: number,
    millis: number,
    tries = 0,
  ): void {
    this.events.event('request.answered', {
      path,
      verb,
      outcome,
      configuration,
      configurationAgeMillis: ageMillis(this.confirmedAt, this.clock.now()),
      millis,
      tries,
    });
  }
}

type RefusalReason = Extract<JobReply, { kind: 'refused' }>['reason'];

function refusalWith(reason: RefusalReason): JobReply {
  return { kind: 'refused', reason, retryAfterSeconds: RETRY_AFTER_SECONDS };
}

/** Messages that may be queued. */
const GATEWAY_MAILBOX_CAPACITY = 16_384;

interface CheckedRequest {
  readonly kind: 'request';
  readonly request: OwnerRequest;
  readonly route: Route;
}

type Checked =
  | CheckedRequest
  | Extract<JobReply, { kind: 'unknown_queue' | 'unknown_key' | 'unknown_job' | 'malformed' }>;

function check(routes: Routes, request: JobRequest): Checked {
  const route = routes.route(request.host, request.path);
  if (route === undefined) {
    return { kind: 'unknown_queue' };
  }
  const team = request.key === undefined ? undefined : routes.teamOf(request.key);
  if (team === undefined && !route.queue.isPublic) {
    return { kind: 'unknown_key' };
  }
  return checkVerb(request, route, team, routes.configuration.version);
}

function checkVerb(
  request: JobRequest,
  route: Route,
  team: TeamId | undefined,
  configuration: number,
): Checked {
  const { rest, queue } = route;
  if (request.verb === 'query' && rest === '') {
    return { kind: 'request', request: { kind: 'count', queue: queue.id, configuration }, route };
  }
  if (!isJobId(rest)) {
    return request.verb === 'submit'
      ? { kind: 'malformed', detail: 'the id of a job is 16 hexadecimal digits' }
      : { kind: 'unknown_job' };
  }
  if (request.verb !== 'submit') {
    return { kind: 'request', request: { kind: request.verb, job: rest, configuration }, route };
  }
  if (request.body?.kind !== 'decoded') {
    return { kind: 'malformed', detail: request.body?.detail ?? 'no body' };
  }
  const plan = { ...request.body.value, id: rest, queue: queue.id, team };
  return { kind: 'request', request: { kind: 'submit', plan, configuration }, route };
}

/** Returns undefined if the owner doesn't have the configuration yet that allows the request. */
function replyOf(answer: JobAnswer): JobReply | undefined {
  return (
    match(answer)
      .returnType<JobReply | undefined>()
      .with({ kind: 'refused' }, refusalOf)
      // No request of a caller is answered so.
      .with({ kind: 'preview' }, () => ({ kind: 'undecided' }))
      .otherwise((other) => other)
  );
}

function refusalOf({
  reason,
  retryAfterSeconds = RETRY_AFTER_SECONDS,
}: Extract<JobAnswer, { kind: 'refused' }>): JobReply | undefined {
  switch (reason) {
    case 'configuration_outdated':
      return undefined;
    case 'unknown_queue':
      return { kind: 'unknown_queue' };
    case 'overloaded':
    case 'store_unavailable':
      return { kind: 'refused', reason, retryAfterSeconds };
  }
}
