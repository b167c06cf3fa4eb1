/** The owner of the cluster's jobs: drives the scheduler, its commits and its links to workers. */

import { match } from 'ts-pattern';
import type { Address as MailAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import type { JobConfiguration, Term, WallInstant } from '@bamboowell/types/job';
import {
  deadlineAfter,
  hasPassed,
  later,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { JobAnswer, JobInput, JobOutput, JobToken } from '@bamboowell/jobs/messages';
import type { JobOrdering } from '@bamboowell/jobs/ordering';
import { JobScheduler, type Times } from '@bamboowell/jobs/scheduler';
import { allLeasesEnd } from './lease-clock.js';
import { loadWork } from './load-work.js';
import type { MemberPort } from './member-port.js';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';
import type { OwnerMessage } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { Documents, WorkerPort } from './ports.js';
import type { MemberSettings } from './settings.js';
import type { AppendOutcome, Store } from './store.js';
import { isProved, newTenure, type Proof, type Tenure } from './tenure.js';
import { WorkerLinks } from './worker-links.js';
import { WorkersWatch } from './workers-watch.js';

/** News is gathered for so long before a pass of placement, milliseconds: less than a store's answer. */
const PASS_GAP_MILLIS = 3;
/** A pass is followed by a pause of its own length times this: leases and answers never wait for long. */
const PASS_PAUSE_FACTOR = 1;
/** What is due by time is looked at this often, milliseconds. */
const BEAT_MILLIS = 100;
/** An owner with nothing to write appends a keep-alive after this, milliseconds, so that it is seen to live. */
const KEEP_ALIVE_MILLIS = 200;
/** One append is given up and repeated after this, milliseconds: far above the store's 4 ms. */
const APPEND_MILLIS = 800;
/** Writes are gathered for so long after the last append, milliseconds: calls of the store have a price. */
const GATHER_MILLIS = 10;
/** Pause before an append is repeated, milliseconds. */
const APPEND_RETRY_MILLIS = 60;
/** An append without an answer for so long, milliseconds, means that another member should try. */
const STORE_TROUBLE_MILLIS = 1000;
/** An owner that heard neither the store nor a member for so long, milliseconds, renews no lease. */
const ISOLATED_MILLIS = 2500;
/** Advice that takes longer than its terms say by this, milliseconds, is given up. */
const ADVICE_SLACK_MILLIS = 1500;
/** Way to a member of another region and back, milliseconds; a first guess that is learned. */
const FAR_WAY_MILLIS = 60;
/** The owner's figures are told this often, milliseconds. */
const FIGURES_MILLIS = 5000;
/** Key of the record by which an owner fences earlier ones and shows that it lives. */
const ALIVE_KEY = 'alive';

export interface OwnerOptions {
  readonly settings: MemberSettings;
  readonly store: Store;
  readonly workers: WorkerPort;
  readonly documents: Documents;
  readonly events: EventLog;
  readonly ordering: JobOrdering;
  readonly self: MemberPort;
  readonly wallMillis: () => number;
}

export class OwnerTask extends Task<OwnerMessage> {
  private tenure: Tenure | undefined;
  private ownership: MailAddress<OwnershipMessage> | undefined;
  private configuration: JobConfiguration | undefined;
  private readonly members = new Map<MemberId, MemberPort>();
  private readonly pending = new Map<JobToken, Reply<OwnerReply>>();
  /** Answers that a job does not exist, until the store has shown that the work is still ours. */
  private readonly unproved: JobToken[] = [];
  private lastToken = 0;
  private isPassDue = false;
  private nextPassAt: Deadline = brandAs<Deadline>(0);
  private resigning: Reply<Term | undefined> | undefined;

  constructor(
    private readonly options: OwnerOptions,
    clock: Clock,
  ) {
    super('owner', clock, OWNER_MAILBOX);
    this.members.set(options.self.member, options.self);
  }

  protected override opened(): void {
    this.post({ kind: 'beat' });
  }

  protected override closed(): void {
    this.standDown('stopped');
  }

  protected receive(message: OwnerMessage): void {
    match(message)
      .with({ kind: 'attach' }, ({ ownership }) => {
        this.ownership = ownership;
      })
      .with({ kind: 'elected' }, ({ term }) => {
        this.begin(term);
      })
      .with({ kind: 'superseded' }, ({ term }) => {
        if ((this.tenure?.term ?? term) < term) {
          this.standDown('superseded');
        }
      })
      .with({ kind: 'configuration' }, ({ configuration }) => {
        this.configuration = configuration;
        this.input({ kind: 'configuration', configuration });
        this.own();
      })
      .with({ kind: 'worker' }, ({ notice }) => {
        this.tenure?.notices.set(notice.id, notice);
        this.input({ kind: 'worker', notice });
      })
      .with({ kind: 'worker_gone' }, ({ worker }) => {
        this.tenure?.notices.delete(worker);
        this.input({ kind: 'worker_gone', worker });
      })
      .with({ kind: 'workers_read' }, () => {
        if (this.tenure !== undefined) {
          this.tenure.areWorkersRead = true;
          this.own();
        }
      })
      .with({ kind: 'loaded' }, ({ term, restored }) => {
        if (this.tenure?.term === term) {
          this.tenure.restored = restored;
          this.own();
        }
      })
      .with({ kind: 'request' }, ({ request, reply }) => {
        this.request(request, reply);
      })
      .with({ kind: 'input' }, ({ input }) => {
        this.input(input);
      })
      .with({ kind: 'fenced' }, () => {
        this.ownership?.post({ kind: 'doubt' });
      })
      .with({ kind: 'member' }, ({ port, term, reply }) => {
        const isOwner = this.tenure?.term === term;
        reply(isOwner);
        if (isOwner) {
          this.addMember(port);
        }
      })
      .with({ kind: 'member_gone' }, ({ port }) => {
        if (this.members.get(port.member) === port) {
          this.members.delete(port.member);
          this.input({ kind: 'adviser_gone', member: port.member });
        }
      })
      .with({ kind: 'advised' }, (advised) => {
        this.advised(advised);
      })
      .with({ kind: 'appended' }, (appended) => {
        this.appended(appended);
      })
      .with({ kind: 'append' }, ({ term }) => {
        if (this.tenure?.term === term) {
          this.tenure.isAppendDue = false;
          this.append(this.tenure);
        }
      })
      .with({ kind: 'pass' }, () => {
        this.isPassDue = false;
        this.pass();
      })
      .with({ kind: 'beat' }, () => {
        this.postAt(deadlineAfter(this.clock.now(), BEAT_MILLIS), { kind: 'beat' });
        this.beat();
      })
      .with({ kind: 'resign' }, ({ reply }) => {
        this.resigning = reply;
        this.resignIfIdle();
      })
      .exhaustive();
  }

  private addMember(port: MemberPort): void {
    this.members.set(port.member, port);
    this.input(this.adviserInput(port));
    port.tellTrouble(this.tenure?.isTroubled ?? false);
  }

  private times(): Times {
    return {
      now: this.clock.now(),
      wall: brandAs<WallInstant>(this.options.wallMillis()),
    };
  }

  /** Fences earlier owners, then reads what they left. */
  private begin(term: Term): void {
    if (this.tenure !== undefined && this.tenure.term >= term) {
      return;
    }
    this.standDown('elected_again');
    const { store, documents, events, settings } = this.options;
    const now = this.clock.now();
    const links = new WorkerLinks(
      {
        port: this.options.workers,
        term,
        owner: this,
        longestLeaseMillis: settings.longestLeaseMillis,
        mayRenew: () => this.mayRenew(tenure),
      },
      this.clock,
    );
    const watch = new WorkersWatch(store, this.clock, documents, events, this);
    const earlierLeasesEnd = allLeasesEnd(now, settings.longestLeaseMillis);
    const tenure = newTenure({ term, watch, links, earlierLeasesEnd }, now);
    this.tenure = tenure;
    events.event('owner.elected', { term });
    tenure.watch.start();
    this.keepAlive(tenure);
  }

  private keepAlive(tenure: Tenure): void {
    const value = JSON.stringify({ term: tenure.term, member: this.options.settings.member });
    tenure.commits.addWrites([{ key: ALIVE_KEY, value }]);
    this.append(tenure);
  }

  private load(tenure: Tenure): void {
    const { store, events } = this.options;
    const isWanted = (): boolean => this.tenure === tenure;
    void loadWork({ store, clock: this.clock, events, isWanted }).then((restored) => {
      if (restored !== undefined) {
        this.post({ kind: 'loaded', term: tenure.term, restored });
      }
    });
  }

  /** Takes the work up once all that it needs has been read. */
  private own(): void {
    const { tenure, configuration } = this;
    if (
      tenure?.restored === undefined ||
      tenure.scheduler !== undefined ||
      !tenure.areWorkersRead ||
      configuration === undefined
    ) {
      return;
    }
    const { restored, earlierLeasesEnd } = tenure;
    tenure.scheduler = new JobScheduler(
      {
        ordering: this.options.ordering,
        configuration,
        earlierLeasesEnd,
        restored,
        workers: [...tenure.notices.values()],
      },
      this.times(),
    );
    this.options.events.event('owner.ready', {
      term: tenure.term,
      jobs: restored.jobs.length,
      runs: restored.runs.length,
      workers: tenure.notices.size,
      configuration: configuration.version,
    });
    this.carryOut(tenure, tenure.scheduler.takeOutputs());
    this.members.forEach((port) => {
      this.input(this.adviserInput(port));
    });
    this.ownership?.post({ kind: 'owning', term: tenure.term });
    this.afterInput(tenure);
  }

  private adviserInput({ member, region }: MemberPort): JobInput {
    const isNear = region === this.options.settings.region;
    return { kind: 'adviser', member, extraMillis: isNear ? 0 : FAR_WAY_MILLIS };
  }

  private input(input: JobInput): void {
    const { tenure } = this;
    if (tenure?.scheduler === undefined) {
      return;
    }
    this.carryOut(tenure, tenure.scheduler.step(input, this.times()));
    this.afterInput(tenure);
  }

  private pass(): void {
    const startedAt = this.clock.now();
    this.input({ kind: 'place' });
    const now = this.clock.now();
    this.nextPassAt = deadlineAfter(now, PASS_PAUSE_FACTOR * (now - startedAt));
  }

  private afterInput(tenure: Tenure): void {
    this.append(tenure);
    if (tenure.scheduler?.wantsPlacement === true && !this.isPassDue) {
      this.isPassDue = true;
      const gatheredAt = deadlineAfter(this.clock.now(), PASS_GAP_MILLIS);
      this.postAt(later(gatheredAt, this.nextPassAt), { kind: 'pass' });
    }
  }

  private request(request: OwnerRequest, reply: Reply<OwnerReply>): void {
    if (this.tenure?.scheduler === undefined || this.resigning !== undefined) {
      reply({ kind: 'not_taken' });
      return;
    }
    this.lastToken += 1;
    const token = brandAs<JobToken>(this.lastToken);
    this.pending.set(token, reply);
    this.input(inputOf(request, token));
  }

  private carryOut(tenure: Tenure, outputs: readonly JobOutput[]): void {
    for (const output of outputs) {
      this.carryOutOne(tenure, output);
    }
  }

  private carryOutOne(tenure: Tenure, output: JobOutput): void {
    match(output)
      .with({ kind: 'answer' }, ({ token, answer }) => {
        this.answer(tenure, token, answer);
      })
      .with({ kind: 'order' }, ({ life, order }) => {
        tenure.links.post(life, { kind: 'order', order });
      })
      .with({ kind: 'withdraw' }, ({ life, task, run }) => {
        tenure.links.post(life, { kind: 'withdraw', task, run });
      })
      .with({ kind: 'acknowledge' }, ({ life, upTo }) => {
        tenure.links.post(life, { kind: 'acknowledge', upTo });
      })
      .with({ kind: 'ask_advice' }, (question) => {
        this.askAdvice(tenure, question);
      })
      .with({ kind: 'meet' }, ({ notice, lapsesAt }) => {
        tenure.links.open(notice, lapsesAt);
      })
      .with({ kind: 'part' }, ({ life }) => {
        tenure.links.close(life);
      })
      .with({ kind: 'event' }, ({ name, fields }) => {
        this.options.events.event(name, { ...fields, term: tenure.term });
      })
      .exhaustive();
  }

  private answer(tenure: Tenure, token: JobToken, answer: JobAnswer): void {
    if (
      answer.kind === 'unknown_job' &&
      !isProved(tenure, this.clock.now(), this.options.wallMillis())
    ) {
      this.unproved.push(token);
      return;
    }
    this.reply(token, { kind: 'answered', answer });
  }

  private reply(token: JobToken, reply: OwnerReply): void {
    const pending = this.pending.get(token);
    this.pending.delete(token);
    pending?.(reply);
  }

  private mayRenew(tenure: Tenure): boolean {
    const lastProof = tenure.proof?.at ?? 0;
    const isHeard = this.members.size > 1 || this.clock.now() - lastProof < ISOLATED_MILLIS;
    return this.tenure === tenure && !tenure.isFenced && isHeard;
  }

  private askAdvice(
    { term }: Tenure,
    { member, step, workers, terms }: Extract<JobOutput, { kind: 'ask_advice' }>,
  ): void {
    const port = this.members.get(member);
    const askedAt = this.clock.now();
    const expected = terms.baseMillis + terms.perWorkerMillis * workers.length;
    const waitMillis = Math.round(3 * expected + ADVICE_SLACK_MILLIS);
    const answer =
      port?.advise({ step, workers, waitMillis }) ??
      Promise.resolve({ kind: 'unanswered' as const, detail: 'the member is gone' });
    void answer.then((value) => {
      const tookMillis = this.clock.now() - askedAt;
      this.post({ kind: 'advised', term, step, answer: value, tookMillis });
    });
  }

  private advised(advised: Extract<OwnerMessage, { kind: 'advised' }>): void {
    const { term, step, answer, tookMillis } = advised;
    if (this.tenure?.term !== term) {
      return;
    }
    if (answer.kind === 'granted') {
      const until = deadlineAfter(this.clock.now(), answer.validMillis);
      this.input({ kind: 'advice', step, granted: answer.granted, until, tookMillis });
      return;
    }
    const detail = answer.kind === 'unanswered' ? answer.detail : '';
    this.options.events.event('advice.missed', { step, answer: answer.kind, detail });
    this.input({ kind: 'no_advice', step });
  }

  /** Sends what is due, unless an append is on its way. */
  private append(tenure: Tenure): void {
    const { commits, scheduler } = tenure;
    const gatheredAt = deadlineAfter(tenure.lastAppendAt, GATHER_MILLIS);
    if (commits.isIdle && !hasPassed(gatheredAt, this.clock.now())) {
      this.appendLater(tenure, gatheredAt);
      return;
    }
    if (commits.isIdle) {
      const batch = scheduler?.takeBatch();
      if (batch?.writes.length === 0) {
        this.input({ kind: 'committed', batch: batch.number });
        return;
      }
      if (batch !== undefined) {
        commits.addBatch(batch);
      }
    }
    const planned = hasPassed(tenure.appendAgainAt, this.clock.now()) ? commits.next() : undefined;
    if (planned === undefined) {
      return;
    }
    const sentAt = this.clock.now();
    const sentAtWallMillis = this.options.wallMillis();
    tenure.appendingSince ??= sentAt;
    const limit = deadlineAfter(sentAt, APPEND_MILLIS);
    const { term } = tenure;
    void this.options.store
      .append('work', planned.writes, planned.condition, limit)
      .then((outcome) => {
        this.post({ kind: 'appended', term, outcome, sentAt, sentAtWallMillis });
      });
  }

  private appendLater(tenure: Tenure, at: Deadline): void {
    if (!tenure.isAppendDue) {
      tenure.isAppendDue = true;
      this.postAt(at, { kind: 'append', term: tenure.term });
    }
  }

  private appended(message: Extract<OwnerMessage, { kind: 'appended' }>): void {
    const { tenure } = this;
    if (tenure?.term !== message.term) {
      return;
    }
    match(message.outcome)
      .with({ kind: 'appended' }, () => {
        this.recorded(tenure, { at: message.sentAt, wallMillis: message.sentAtWallMillis });
      })
      .with({ kind: 'fenced' }, () => {
        this.standDown('fenced');
        this.ownership?.post({ kind: 'doubt' });
      })
      .with({ kind: 'unavailable' }, { kind: 'full' }, { kind: 'moved' }, (outcome) => {
        this.appendFailed(tenure, outcome);
      })
      .with({ kind: 'out_of_sequence' }, (outcome) => {
        // An earlier copy of this append was taken after all, and its answer is no longer kept.
        this.options.events.event('append.out_of_sequence', { expected: outcome.expected });
        this.standDown('out_of_sequence');
        this.ownership?.post({ kind: 'doubt' });
      })
      .exhaustive();
  }

  private recorded(tenure: Tenure, proof: Proof): void {
    const isFirst = tenure.proof === undefined;
    tenure.proof = proof;
    tenure.lastAppendAt = this.clock.now();
    const millis = tenure.lastAppendAt - (tenure.appendingSince ?? proof.at);
    this.options.events.event('append.done', { millis });
    tenure.appendingSince = undefined;
    this.setTrouble(tenure, false);
    const batch = tenure.commits.appended();
    if (isFirst) {
      this.load(tenure);
    }
    this.unproved.splice(0).forEach((token) => {
      this.answer(tenure, token, { kind: 'unknown_job' });
    });
    if (batch !== undefined) {
      this.input({ kind: 'committed', batch });
    }
    this.append(tenure);
    this.resignIfIdle();
  }

  private appendFailed(tenure: Tenure, outcome: AppendOutcome): void {
    const detail = 'detail' in outcome ? outcome.detail : '';
    this.options.events.event('append.failed', { outcome: outcome.kind, detail });
    tenure.commits.unanswered();
    tenure.appendAgainAt = deadlineAfter(this.clock.now(), APPEND_RETRY_MILLIS);
    this.postAt(tenure.appendAgainAt, { kind: 'append', term: tenure.term });
  }

  private setTrouble(tenure: Tenure, isTroubled: boolean): void {
    if (tenure.isTroubled === isTroubled) {
      return;
    }
    tenure.isTroubled = isTroubled;
    this.options.events.event(isTroubled ? 'store.lost' : 'store.regained', { topic: 'work' });
    this.members.forEach((port) => {
      port.tellTrouble(isTroubled);
    });
  }

  private beat(): void {
    const { tenure } = this;
    if (tenure === undefined) {
      return;
    }
    const now = this.clock.now();
    const since = tenure.appendingSince;
    if (since !== undefined && now - since > STORE_TROUBLE_MILLIS) {
      this.setTrouble(tenure, true);
    }
    if (tenure.scheduler !== undefined) {
      this.input({ kind: 'place' });
      this.tellFigures(tenure, tenure.scheduler, now);
    }
    if (tenure.commits.isIdle && now - tenure.lastAppendAt >= KEEP_ALIVE_MILLIS) {
      this.keepAlive(tenure);
    }
  }

  private tellFigures(tenure: Tenure, scheduler: JobScheduler, now: Instant): void {
    if (!hasPassed(tenure.figuresAt, now)) {
      return;
    }
    tenure.figuresAt = deadlineAfter(now, FIGURES_MILLIS);
    this.options.events.event('owner.figures', {
      term: tenure.term,
      ...scheduler.figures(),
      members: this.members.size,
      pendingRequests: this.pending.size,
    });
  }

  private resignIfIdle(): void {
    const { resigning, tenure } = this;
    if (resigning === undefined) {
      return;
    }
    if (tenure === undefined || tenure.commits.isIdle) {
      const term = tenure?.term;
      this.standDown('resigned');
      resigning(term);
    }
  }

  /** Lets go of the work; members ask the next owner again for what was not answered. */
  private standDown(reason: string): void {
    const { tenure } = this;
    if (tenure === undefined) {
      return;
    }
    this.tenure = undefined;
    tenure.isFenced = true;
    tenure.watch.stop();
    tenure.links.closeAll();
    this.unproved.splice(0);
    [...this.pending.keys()].forEach((token) => {
      this.reply(token, { kind: 'unknown' });
    });
    this.options.events.event('owner.stood_down', { term: tenure.term, reason });
    this.ownership?.post({ kind: 'stood_down', term: tenure.term });
  }
}

/** Messages that may wait; reports of a few hundred workers and their orders fit several times. */
const OWNER_MAILBOX = 65_536;

function inputOf(request: OwnerRequest, token: JobToken): JobInput {
  switch (request.kind) {
    case 'submit':
      return { kind: 'submit', plan: request.plan, token };
    case 'cancel':
      return { kind: 'cancel', job: request.job, token };
    case 'query':
      return { kind: 'query', job: request.job, token };
    case 'count':
      return { kind: 'count', queue: request.queue, token };
  }
}
