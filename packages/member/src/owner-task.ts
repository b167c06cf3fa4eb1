/** The owner of the cluster's jobs: drives the scheduler, its commits and its links to workers. */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { Fields } from '@bamboowell/logger/line';
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
import type { JobInput, JobOutput } from '@bamboowell/jobs/messages';
import type { JobOrdering } from '@bamboowell/jobs/ordering';
import { JobScheduler, type Times } from '@bamboowell/jobs/scheduler';
import { AdviceCalls } from './advice-calls.js';
import { allLeasesEnd } from './lease-clock.js';
import { loadWork } from './load-work.js';
import type { MemberPort } from './member-port.js';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';
import type { OwnerMessage, TermRole } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { Documents, WorkerPort } from './ports.js';
import type { MemberSettings } from './settings.js';
import type { Store } from './store.js';
import { newTenure, type Tenure } from './tenure.js';
import { WorkLogWriter, type AppendResult } from './work-log-writer.js';
import { PendingRequests } from './pending-requests.js';
import { WorkerLinks } from './worker-links.js';
import { WorkersWatch } from './workers-watch.js';

/** News is gathered for so long before a pass of placement, milliseconds: less than a store's answer. */
const PASS_GAP_MILLIS = 3;
/** A pass is followed by a pause of its own length times this: leases and answers never wait for long. */
const PASS_PAUSE_FACTOR = 1;
/** What is due by time is looked at this often, milliseconds. */
const BEAT_MILLIS = 100;
/** An owner that heard neither the store nor a member for so long, milliseconds, renews no lease. */
const ISOLATED_MILLIS = 2500;
/** Way to a member of another region and back, milliseconds; a first guess that is learned. */
const FAR_WAY_MILLIS = 60;
/** The owner's figures are told this often, milliseconds. */
const FIGURES_MILLIS = 5000;
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
  private ownership: MailboxAddress<OwnershipMessage> | undefined;
  private configuration: JobConfiguration | undefined;
  private readonly members = new Map<MemberId, MemberPort>();
  private readonly requests = new PendingRequests();
  private readonly advice: AdviceCalls;
  private isPassDue = false;
  private nextPassAt: Deadline = brandAs<Deadline>(0);
  private resignation: Extract<OwnerMessage, { kind: 'resign' }> | undefined;
  /** Takes nothing new: the work is about to be handed over. */
  private isClosing = false;

  constructor(
    private readonly options: OwnerOptions,
    clock: Clock,
  ) {
    super('owner', clock, OWNER_MAILBOX);
    this.members.set(options.self.member, options.self);
    this.advice = new AdviceCalls(clock, options.events, this);
  }

  protected override onStart(): void {
    this.post({ kind: 'beat' });
  }

  protected override onStop(): void {
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
      .with({ kind: 'worker' }, ({ registration }) => {
        this.tenure?.registrations.set(registration.id, registration);
        this.input({ kind: 'worker', registration });
      })
      .with({ kind: 'worker_gone' }, ({ worker }) => {
        this.tenure?.registrations.delete(worker);
        this.input({ kind: 'worker_gone', worker });
      })
      .with({ kind: 'workers_read' }, () => {
        if (this.tenure !== undefined) {
          this.tookStep(this.tenure, 'workers_read', { workers: this.tenure.registrations.size });
          this.tenure.areWorkersRead = true;
          this.own();
        }
      })
      .with({ kind: 'loaded' }, ({ term, restored }) => {
        if (this.tenure?.term === term) {
          this.tenure.restored = restored;
          this.tookStep(this.tenure, 'work_loaded', { jobs: restored.jobs.length });
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
        const standing = this.standingTo(term);
        reply(standing);
        if (standing !== 'none') {
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
          this.tenure.appends.wake();
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
      .with({ kind: 'resign' }, (resignation) => {
        this.resignation = resignation;
        this.resignWhenDue();
      })
      .exhaustive();
  }

  private standingTo(term: Term): TermRole {
    if (this.tenure?.term !== term) {
      return 'none';
    }
    return this.tenure.scheduler === undefined ? 'taking_over' : 'serving';
  }

  private addMember(port: MemberPort): void {
    this.members.set(port.member, port);
    this.input(this.adviserInput(port));
    port.notifyTrouble(this.tenure?.isTroubled ?? false);
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
    const appends = this.appendsOf(term);
    const tenure = newTenure({ term, appends, watch, links, earlierLeasesEnd }, now);
    this.tenure = tenure;
    events.event('owner.elected', { term });
    tenure.watch.start();
    appends.keepAlive(settings.member);
  }

  private appendsOf(term: Term): WorkLogWriter {
    const { store, events, wallMillis } = this.options;
    return new WorkLogWriter({
      term,
      store,
      events,
      wallMillis,
      clock: this.clock,
      owner: this,
      wakeAt: (at) => {
        this.postAt(at, { kind: 'append', term });
      },
      takeBatch: () => this.tenure?.scheduler?.takeBatch(),
      committed: (batch) => {
        this.input({ kind: 'committed', batch });
      },
    });
  }

  /** Tells how far a takeover has come. */
  private tookStep(tenure: Tenure, step: string, fields: Fields): void {
    if (tenure.scheduler === undefined) {
      const { term, electedAt } = tenure;
      const afterMillis = Math.round(this.clock.now() - electedAt);
      this.options.events.event('owner.step', { term, step, afterMillis, ...fields });
    }
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
        workers: [...tenure.registrations.values()],
      },
      this.times(),
    );
    this.options.events.event('owner.ready', {
      term: tenure.term,
      jobs: restored.jobs.length,
      runs: restored.runs.length,
      workers: tenure.registrations.size,
      configuration: configuration.version,
    });
    this.carryOut(tenure, tenure.scheduler.takeOutputs());
    this.members.forEach((port) => {
      this.input(this.adviserInput(port));
      port.notifyServing();
    });
    this.ownership?.post({ kind: 'owning', term: tenure.term });
    this.afterInput(tenure);
  }

  private adviserInput({ member, region }: MemberPort): JobInput {
    const isNear = region === this.options.settings.region;
    return { kind: 'adviser', member, roundTripMillis: isNear ? 0 : FAR_WAY_MILLIS };
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
    tenure.appends.send();
    if (tenure.scheduler?.needsPlacement === true && !this.isPassDue) {
      this.isPassDue = true;
      const gatheredAt = deadlineAfter(this.clock.now(), PASS_GAP_MILLIS);
      this.postAt(later(gatheredAt, this.nextPassAt), { kind: 'pass' });
    }
  }

  private request(request: OwnerRequest, reply: Reply<OwnerReply>): void {
    if (this.tenure?.scheduler === undefined || this.isClosing) {
      reply({ kind: 'not_taken' });
      return;
    }
    this.input(this.requests.add(request, reply));
  }

  private carryOut(tenure: Tenure, outputs: readonly JobOutput[]): void {
    for (const output of outputs) {
      this.carryOutOne(tenure, output);
    }
  }

  private carryOutOne(tenure: Tenure, output: JobOutput): void {
    match(output)
      .with({ kind: 'answer' }, ({ token, answer }) => {
        this.requests.answer(token, answer, tenure.appends.isOwnershipConfirmed);
      })
      .with({ kind: 'order' }, ({ incarnation, order }) => {
        tenure.links.post(incarnation, { kind: 'order', order });
      })
      .with({ kind: 'withdraw' }, ({ incarnation, task, run }) => {
        tenure.links.post(incarnation, { kind: 'withdraw', task, run });
      })
      .with({ kind: 'acknowledge' }, ({ incarnation, upTo }) => {
        tenure.links.post(incarnation, { kind: 'acknowledge', upTo });
      })
      .with({ kind: 'ask_advice' }, (question) => {
        this.advice.ask(tenure.term, this.members.get(question.member), question);
      })
      .with({ kind: 'meet' }, ({ registration, lapsesAt }) => {
        tenure.links.open(registration, lapsesAt);
      })
      .with({ kind: 'part' }, ({ incarnation }) => {
        tenure.links.close(incarnation);
      })
      .with({ kind: 'event' }, ({ name, fields }) => {
        this.options.events.event(name, { ...fields, term: tenure.term });
      })
      .exhaustive();
  }

  private mayRenew(tenure: Tenure): boolean {
    const isHeard = this.members.size > 1 || tenure.appends.wasConfirmedWithin(ISOLATED_MILLIS);
    return this.tenure === tenure && !tenure.isFenced && isHeard;
  }

  private advised(advised: Extract<OwnerMessage, { kind: 'advised' }>): void {
    if (this.tenure?.term === advised.term) {
      this.input(this.advice.inputOf(advised));
    }
  }

  private appended(message: Extract<OwnerMessage, { kind: 'appended' }>): void {
    const { tenure } = this;
    if (tenure?.term !== message.term) {
      return;
    }
    match(tenure.appends.handleOutcome(message))
      .with({ kind: 'recorded' }, (result) => {
        this.recorded(tenure, result);
      })
      .with({ kind: 'lost' }, ({ reason }) => {
        this.standDown(reason);
        this.ownership?.post({ kind: 'doubt' });
      })
      .with({ kind: 'again' }, () => undefined)
      .exhaustive();
  }

  private recorded(
    tenure: Tenure,
    { isFirst, batches }: Extract<AppendResult, { kind: 'recorded' }>,
  ): void {
    this.setTrouble(tenure, false);
    if (isFirst) {
      this.tookStep(tenure, 'earlier_owners_fenced', {});
      this.load(tenure);
    }
    this.requests.ownershipConfirmed();
    batches.forEach((batch) => {
      this.input({ kind: 'committed', batch });
    });
    tenure.appends.send();
    this.resignWhenDue();
  }

  private setTrouble(tenure: Tenure, isTroubled: boolean): void {
    if (tenure.isTroubled === isTroubled) {
      return;
    }
    tenure.isTroubled = isTroubled;
    this.options.events.event(isTroubled ? 'store.lost' : 'store.regained', { topic: 'work' });
    this.members.forEach((port) => {
      port.notifyTrouble(isTroubled);
    });
  }

  private beat(): void {
    this.resignWhenDue();
    const { tenure } = this;
    if (tenure === undefined) {
      return;
    }
    const now = this.clock.now();
    if (tenure.appends.isStalled) {
      this.setTrouble(tenure, true);
    }
    if (tenure.scheduler !== undefined) {
      this.input({ kind: 'place' });
      this.tellFigures(tenure, tenure.scheduler, now);
    }
    if (tenure.appends.needsKeepAlive) {
      tenure.appends.keepAlive(this.options.settings.member);
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
      pendingRequests: this.requests.size,
    });
  }

  /** While the store is slow the work is better kept than left without an owner. */
  private resignWhenDue(): void {
    const { resignation, tenure } = this;
    if (resignation === undefined) {
      return;
    }
    const mustGo = hasPassed(resignation.by, this.clock.now());
    if (tenure !== undefined && tenure.appends.isSlow && !mustGo) {
      return;
    }
    this.isClosing = true;
    tenure?.appends.finish();
    if (tenure === undefined || tenure.appends.isIdle || mustGo) {
      this.resignation = undefined;
      this.standDown('resigned');
      resignation.reply(tenure?.term);
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
    this.requests.dropAll();
    this.options.events.event('owner.stood_down', { term: tenure.term, reason });
    this.ownership?.post({ kind: 'stood_down', term: tenure.term });
  }
}

/** Messages that may wait; reports of a few hundred workers and their orders fit several times. */
const OWNER_MAILBOX = 65_536;
