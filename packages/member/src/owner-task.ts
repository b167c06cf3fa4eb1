/**
 * Owns the cluster's jobs during a term: feeds the scheduler, carries out its outputs, writes its
 * records to the store and keeps the links to workers.
 */

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
import {
  NO_EVACUATIONS,
  UNREAD_EVACUATIONS,
  type KnownEvacuations,
} from '@bamboowell/jobs/evacuations';
import type { JobInput, JobOutput } from '@bamboowell/jobs/messages';
import type { JobOrdering } from '@bamboowell/jobs/ordering';
import { JobScheduler, type Times } from '@bamboowell/jobs/scheduler';
import { AdviceCalls } from './advice-calls.js';
import { HeldSubmissions } from './held-submissions.js';
import { NO_VERSION, ageMillis } from './configuration-task.js';
import { EvacuationsWatch, RELIANCE_FRACTION } from './evacuations-watch.js';
import { allLeasesEnd, leasesEndAfter } from './lease-clock.js';
import { TAKEOVER_KEY, loadWork, type LoadedWork } from './load-work.js';
import type { MemberPort } from './member-port.js';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';
import type { OwnerMessage, TermRole } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { Documents, WorkerPort } from './ports.js';
import type { MemberSettings } from './settings.js';
import type { Store } from './store.js';
import type { Moment } from './moment.js';
import { MEMBER_CLOCK_DRIFT_FACTOR, PROOF_LIFETIME_MILLIS } from './ownership-proof.js';
import {
  precedenceAfterGreeting,
  precedenceAfterLoading,
  renewalMillisAfter,
  type Precedence,
  type Takeover,
} from './succession.js';
import { newTenure, type Tenure } from './tenure.js';
import { WITNESSES_KEY } from './witness-list.js';
import { Witnesses } from './witnesses.js';
import { WorkLogWriter, type AppendResult } from './work-log-writer.js';
import { PendingRequests } from './pending-requests.js';
import { WorkerLinks } from './worker-links.js';
import { WorkersWatch } from './workers-watch.js';

/**
 * Inputs are collected this long before a placement pass: as long as the starts that it records are
 * gathered for an append.
 */
const PASS_DELAY_MILLIS = 10;
/**
 * The pause after a pass, as a multiple of its duration, so that leases and replies are never held
 * up for long.
 */
const PASS_PAUSE_FACTOR = 1;
/** Interval of the timer that drives keep-alives, placement, figures and resignation. */
const TICK_INTERVAL_MILLIS = 100;
/** Initial estimate of the round trip to a member in another region; refined by later calls. */
const CROSS_REGION_ROUND_TRIP_MILLIS = 60;
/** Interval at which `owner.figures` is logged. */
const FIGURES_INTERVAL_MILLIS = 5000;

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
  /** When `configuration` was last known to be the latest one. */
  private confirmedAt: Instant | undefined;
  private readonly members = new Map<MemberId, MemberPort>();
  private readonly requests = new PendingRequests();
  private readonly submissions = new HeldSubmissions();
  private readonly advice: AdviceCalls;
  private isPassScheduled = false;
  private isTicking = false;
  private nextPassAt: Deadline = brandAs<Deadline>(0);
  private resignation: Extract<OwnerMessage, { kind: 'resign' }> | undefined;
  /** Rejects new requests because the work is about to be handed over. */
  private isHandingOver = false;

  constructor(
    private readonly options: OwnerOptions,
    clock: Clock,
  ) {
    super('owner', clock, OWNER_MAILBOX_CAPACITY);
    this.members.set(options.self.member, options.self);
    this.advice = new AdviceCalls(clock, options.events, this);
  }

  protected override onStop(): void {
    this.standDown('stopped');
  }

  protected receive(message: OwnerMessage): void {
    match(message)
      .with({ kind: 'attach' }, ({ ownership }) => {
        this.ownership = ownership;
      })
      .with({ kind: 'elected' }, ({ term, precedence }) => {
        this.startTerm(term, precedence);
      })
      .with({ kind: 'superseded' }, ({ term }) => {
        if ((this.tenure?.term ?? term) < term) {
          this.standDown('superseded');
        }
      })
      .with({ kind: 'configuration' }, ({ configuration }) => {
        this.configuration = configuration;
        this.options.events.event('configuration.applied', {
          by: 'owner',
          version: configuration.version,
          isOwner: this.tenure !== undefined,
        });
        this.stepScheduler({ kind: 'configuration', configuration });
        this.startServing();
      })
      .with({ kind: 'configuration_confirmed' }, ({ at }) => {
        this.confirmedAt = at;
      })
      .with({ kind: 'worker' }, ({ registration }) => {
        this.tenure?.registrations.set(registration.id, registration);
        this.stepScheduler({ kind: 'worker', registration });
      })
      .with({ kind: 'worker_gone' }, ({ worker }) => {
        this.tenure?.registrations.delete(worker);
        this.stepScheduler({ kind: 'worker_gone', worker });
      })
      .with({ kind: 'workers_read' }, () => {
        if (this.tenure !== undefined) {
          this.logTakeoverStep(this.tenure, 'workers_read', {
            workers: this.tenure.registrations.size,
          });
          this.tenure.areWorkersRead = true;
          this.startServing();
        }
      })
      .with({ kind: 'evacuations' }, ({ term, evacuations }) => {
        if (this.tenure?.term === term) {
          if (this.tenure.evacuations === undefined) {
            const zones = evacuations.zones.length;
            this.logTakeoverStep(this.tenure, 'evacuations_read', { zones });
          }
          this.tenure.evacuations = evacuations;
          this.stepScheduler({ kind: 'evacuations', ...evacuations });
          this.startServing();
        }
      })
      .with({ kind: 'loaded' }, ({ term, work }) => {
        if (this.tenure?.term === term) {
          this.workLoaded(this.tenure, work);
        }
      })
      .with({ kind: 'request' }, ({ request, reply }) => {
        this.request(request, reply);
      })
      .with({ kind: 'input' }, ({ input }) => {
        this.stepScheduler(input);
      })
      .with({ kind: 'fenced' }, () => {
        this.ownership?.post({ kind: 'reread_claims' });
      })
      .with({ kind: 'member' }, ({ port, term, reply }) => {
        const role = this.roleIn(term);
        reply(role);
        if (role !== 'none') {
          this.addMember(port);
        }
      })
      .with({ kind: 'member_gone' }, ({ port }) => {
        if (this.members.get(port.member) === port) {
          this.members.delete(port.member);
          this.stepScheduler({ kind: 'adviser_gone', member: port.member });
        }
        this.tenure?.witnesses.leave(port);
      })
      .with({ kind: 'member_leaving' }, ({ port }) => {
        this.tenure?.witnesses.dismiss(port);
      })
      .with({ kind: 'attested' }, (attested) => {
        if (this.tenure?.term === attested.term) {
          this.tenure.witnesses.attested(attested);
        }
      })
      .with({ kind: 'advised' }, (advised) => {
        this.advised(advised);
      })
      .with({ kind: 'appended' }, (appended) => {
        this.appended(appended);
      })
      .with({ kind: 'probed' }, (probed) => {
        if (this.tenure?.term === probed.term) {
          this.tenure.writer.handleProbe(probed);
        }
      })
      .with({ kind: 'check_store' }, ({ term }) => {
        if (this.tenure?.term === term) {
          this.tenure.writer.check();
        }
      })
      .with({ kind: 'append' }, ({ term }) => {
        if (this.tenure?.term === term) {
          this.tenure.writer.wake();
        }
      })
      .with({ kind: 'pass' }, () => {
        this.isPassScheduled = false;
        this.pass();
      })
      .with({ kind: 'tick' }, ({ dueAt }) => {
        this.isTicking = false;
        this.tick(dueAt);
        this.tickLater();
      })
      .with({ kind: 'resign' }, (resignation) => {
        this.resignation = resignation;
        this.resignIfReady();
        this.tickLater();
      })
      .exhaustive();
  }

  private roleIn(term: Term): TermRole {
    if (this.tenure?.term !== term) {
      return 'none';
    }
    return this.tenure.scheduler === undefined ? 'taking_over' : 'serving';
  }

  private addMember(port: MemberPort): void {
    this.members.set(port.member, port);
    this.tenure?.witnesses.join(port);
    this.greeted(port);
    this.stepScheduler(this.adviserInput(port));
    port.notifyTrouble(this.tenure?.hasStoreTrouble ?? false);
  }

  /** A process of the earlier owner's member may show that the earlier owner has ended. */
  private greeted(port: MemberPort): void {
    const { tenure } = this;
    if (tenure !== undefined) {
      tenure.precedence = precedenceAfterGreeting(tenure.precedence, port);
      if (tenure.work !== undefined && !tenure.isTakeoverSettled) {
        this.determineEarlierRenewals(tenure, tenure.work);
      }
    }
  }

  private times(): Times {
    return {
      now: this.clock.now(),
      wall: brandAs<WallInstant>(this.options.wallMillis()),
    };
  }

  /** Fences earlier owners; their records are loaded once the first append has succeeded. */
  private startTerm(term: Term, precedence: Precedence): void {
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
        gangAssemblyMillis: settings.gangAssemblyMillis,
        mayRenew: () => this.mayRenew(tenure),
        mayStart: (place) => tenure.scheduler?.mayStart(place, this.clock.now()) === true,
      },
      this.clock,
    );
    const watch = new WorkersWatch(store, this.clock, documents, events, this);
    const writer = this.makeWriter(term);
    const moment = (): Moment => ({ at: this.clock.now(), wallMillis: this.options.wallMillis() });
    const witnesses = new Witnesses(term, this.clock, moment, this);
    const evacuationsWatch = this.makeEvacuationsWatch(term);
    const tenure = newTenure(
      { term, precedence, writer, watch, evacuationsWatch, links, witnesses },
      now,
    );
    this.tenure = tenure;
    const { endsSoon } = precedence;
    events.event('owner.elected', { term, earlierOwnerEndsSoon: endsSoon });
    tenure.watch.start();
    evacuationsWatch?.start();
    writer.keepAlive(settings.member);
    this.tickLater();
  }

  private makeEvacuationsWatch(term: Term): EvacuationsWatch | undefined {
    const { store, documents, events, settings } = this.options;
    const { evacuationBoundMillis: boundMillis } = settings;
    return boundMillis === undefined
      ? undefined
      : new EvacuationsWatch(
          { store, documents, events, owner: this, term, boundMillis },
          this.clock,
        );
  }

  /**
   * What is known of evacuations before the term's first start; undefined while that is still being read. An
   * owner that can't read it takes in jobs and renews leases, and starts nothing.
   */
  private knownEvacuations({ electedAt, evacuations }: Tenure): KnownEvacuations | undefined {
    const { evacuationBoundMillis: boundMillis } = this.options.settings;
    if (boundMillis === undefined) {
      return NO_EVACUATIONS;
    }
    const awaitedUntil = deadlineAfter(electedAt, boundMillis * RELIANCE_FRACTION);
    const isOverdue = hasPassed(awaitedUntil, this.clock.now());
    return evacuations ?? (isOverdue ? UNREAD_EVACUATIONS : undefined);
  }

  private makeWriter(term: Term): WorkLogWriter {
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
      checkAt: (at) => {
        this.postAt(at, { kind: 'check_store', term });
      },
      takeBatch: () => this.tenure?.scheduler?.takeBatch(),
      committed: (batch) => {
        this.stepScheduler({ kind: 'committed', batch });
      },
    });
  }

  /** Logs the progress of a takeover. */
  private logTakeoverStep(tenure: Tenure, step: string, fields: Fields): void {
    if (tenure.scheduler === undefined) {
      const { term, electedAt } = tenure;
      const afterMillis = Math.round(this.clock.now() - electedAt);
      this.options.events.event('owner.step', { term, step, afterMillis, ...fields });
    }
  }

  private load(tenure: Tenure): void {
    const { store, events } = this.options;
    const isWanted = (): boolean => this.tenure === tenure;
    void loadWork({ store, clock: this.clock, events, isWanted }).then((work) => {
      if (work !== undefined) {
        this.post({ kind: 'loaded', term: tenure.term, work });
      }
    });
  }

  private workLoaded(tenure: Tenure, work: LoadedWork): void {
    tenure.work = work;
    const { member } = this.options.self;
    tenure.precedence = precedenceAfterLoading(tenure.precedence, member, work.witnesses);
    this.determineEarlierRenewals(tenure, work);
    const jobs = work.restored.jobs.length;
    this.logTakeoverStep(tenure, 'work_loaded', { jobs });
    this.startServing();
  }

  /** Determines for how long earlier owners may renew leases, and records it for the next one. */
  private determineEarlierRenewals(tenure: Tenure, { takeover }: LoadedWork): void {
    const { term, precedence, fencedAt = this.clock.now(), writer } = tenure;
    const renewalMillis = renewalMillisAfter(precedence, takeover);
    const renewalsEnd = deadlineAfter(fencedAt, renewalMillis * MEMBER_CLOCK_DRIFT_FACTOR);
    if (renewalsEnd === tenure.earlierRenewalsEnd) {
      return;
    }
    const isWitnessed = renewalMillis === PROOF_LIFETIME_MILLIS;
    tenure.earlierRenewalsEnd = renewalsEnd;
    tenure.isTakeoverSettled = isWitnessed;
    writer.record(TAKEOVER_KEY, { term, isWitnessed } satisfies Takeover);
    this.options.events.event('owner.waits', { term, earlierRenewalMillis: renewalMillis });
    this.stepScheduler({ kind: 'earlier_leases_end', at: this.earlierLeasesEnd(renewalsEnd) });
  }

  private earlierLeasesEnd(renewalsEnd: Deadline): Deadline {
    return leasesEndAfter(renewalsEnd, this.options.settings.longestLeaseMillis);
  }

  /** Records the witnesses for the next owner, once it is known what the last one has recorded. */
  private recordWitnesses({ work, witnesses, writer }: Tenure): void {
    const record = work === undefined ? undefined : witnesses.takeRecord();
    if (record !== undefined) {
      writer.record(WITNESSES_KEY, record, () => {
        witnesses.recordStored(record);
      });
    }
  }

  /** Records that all earlier owners have stopped renewing leases, once that is so. */
  private settleTakeover(tenure: Tenure, now: Instant): void {
    const { term, writer, earlierRenewalsEnd, isTakeoverSettled } = tenure;
    if (
      earlierRenewalsEnd !== undefined &&
      !isTakeoverSettled &&
      hasPassed(earlierRenewalsEnd, now)
    ) {
      tenure.isTakeoverSettled = true;
      writer.record(TAKEOVER_KEY, { term, isWitnessed: true } satisfies Takeover);
    }
  }

  /**
   * Creates the scheduler and starts serving once the records, the workers and the configuration
   * have been read.
   */
  private startServing(): void {
    const { tenure, configuration } = this;
    if (
      tenure?.work === undefined ||
      tenure.earlierRenewalsEnd === undefined ||
      tenure.scheduler !== undefined ||
      !tenure.areWorkersRead ||
      configuration === undefined
    ) {
      return;
    }
    const evacuations = this.knownEvacuations(tenure);
    if (evacuations === undefined) {
      return;
    }
    const { longestLeaseMillis } = this.options.settings;
    const { restored } = tenure.work;
    const earlierLeasesEnd = this.earlierLeasesEnd(tenure.earlierRenewalsEnd);
    tenure.scheduler = new JobScheduler(
      {
        ordering: this.options.ordering,
        configuration,
        scheduling: this.options.settings.scheduling,
        earlierLeasesEnd,
        leasesEnd: (now) => allLeasesEnd(now, longestLeaseMillis),
        restored,
        workers: [...tenure.registrations.values()],
        evacuations,
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
    this.executeAll(tenure, tenure.scheduler.takeOutputs());
    this.members.forEach((port) => {
      this.stepScheduler(this.adviserInput(port));
      port.notifyServing();
    });
    this.ownership?.post({ kind: 'owner_ready', term: tenure.term });
    this.scheduleFollowUps(tenure);
  }

  private adviserInput({ member, region }: MemberPort): JobInput {
    const isSameRegion = region === this.options.settings.region;
    return {
      kind: 'adviser',
      member,
      roundTripMillis: isSameRegion ? 0 : CROSS_REGION_ROUND_TRIP_MILLIS,
    };
  }

  private stepScheduler(input: JobInput): void {
    const { tenure } = this;
    if (tenure?.scheduler === undefined) {
      return;
    }
    this.executeAll(tenure, tenure.scheduler.step(input, this.times()));
    this.scheduleFollowUps(tenure);
  }

  private pass(): void {
    const startedAt = this.clock.now();
    if (this.tenure !== undefined) {
      this.place(this.tenure);
    }
    const now = this.clock.now();
    this.nextPassAt = deadlineAfter(now, PASS_PAUSE_FACTOR * (now - startedAt));
  }

  private place({ writer }: Tenure): void {
    this.stepScheduler({ kind: 'place', mayStart: !writer.isBackedUp });
  }

  private scheduleFollowUps(tenure: Tenure): void {
    tenure.writer.send();
    const needsPass = tenure.scheduler?.needsPlacement === true && !tenure.writer.isBackedUp;
    if (needsPass && !this.isPassScheduled) {
      this.isPassScheduled = true;
      const delayedUntil = deadlineAfter(this.clock.now(), PASS_DELAY_MILLIS);
      this.postAt(later(delayedUntil, this.nextPassAt), { kind: 'pass' });
    }
  }

  private request(request: OwnerRequest, reply: Reply<OwnerReply>): void {
    if (this.tenure?.scheduler === undefined || this.isHandingOver) {
      reply({ kind: 'not_taken' });
      return;
    }
    if (request.configuration < (this.configuration?.version ?? NO_VERSION)) {
      reply({ kind: 'outdated' });
      return;
    }
    const { writer } = this.tenure;
    const input = this.requests.add(request, reply);
    if (input.kind !== 'submit') {
      this.stepScheduler(input);
      return;
    }
    const { token, plan } = input;
    this.submissions.add(token, plan.id, request.remainingMillis, this.clock.now());
    this.stepScheduler({ ...input, isStoreAway: writer.isStoreAway });
  }

  /** Refuses submissions whose callers can't wait longer and whose jobs the store was never sent. */
  private refuseUnsent(scheduler: JobScheduler, now: Instant): void {
    for (const { job, tokens } of this.submissions.due(now)) {
      if (scheduler.isUnsent(job)) {
        this.stepScheduler({ kind: 'drop_unsent', job, tokens });
      }
    }
  }

  private executeAll(tenure: Tenure, outputs: readonly JobOutput[]): void {
    for (const output of outputs) {
      this.execute(tenure, output);
    }
    tenure.links.flush();
  }

  private execute(tenure: Tenure, output: JobOutput): void {
    match(output)
      .with({ kind: 'answer' }, ({ token, answer }) => {
        this.submissions.answered(token);
        this.requests.answer(token, answer, tenure.writer.isOwnershipConfirmed);
      })
      .with({ kind: 'order' }, ({ incarnation, order }) => {
        tenure.links.post(incarnation, { kind: 'order', order });
      })
      .with({ kind: 'withdraw' }, ({ incarnation, task, run }) => {
        tenure.links.post(incarnation, { kind: 'withdraw', task, run });
      })
      .with({ kind: 'renew' }, ({ incarnation, suspension }) => {
        tenure.links.post(incarnation, { kind: 'renew', suspension });
      })
      .with({ kind: 'probe' }, ({ incarnation }) => {
        tenure.links.post(incarnation, { kind: 'probe' });
      })
      .with({ kind: 'acknowledge' }, ({ incarnation, upTo }) => {
        tenure.links.post(incarnation, { kind: 'acknowledge', upTo });
      })
      .with({ kind: 'ask_advice' }, (request) => {
        this.advice.ask(tenure.term, this.members.get(request.member), request);
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
    return this.tenure === tenure && !tenure.hasEnded && tenure.witnesses.grounds !== 'nothing';
  }

  private advised(advised: Extract<OwnerMessage, { kind: 'advised' }>): void {
    if (this.tenure?.term === advised.term) {
      this.stepScheduler(this.advice.inputOf(advised));
    }
  }

  private appended(message: Extract<OwnerMessage, { kind: 'appended' }>): void {
    const { tenure } = this;
    if (tenure?.term !== message.term) {
      return;
    }
    match(tenure.writer.handleOutcome(message))
      .with({ kind: 'recorded' }, (result) => {
        tenure.witnesses.confirm(result.confirmedAt);
        this.recorded(tenure, result);
      })
      .with({ kind: 'lost' }, ({ reason }) => {
        this.standDown(reason);
        this.ownership?.post({ kind: 'reread_claims' });
      })
      .with({ kind: 'retry' }, () => {
        tenure.writer.send();
      })
      .exhaustive();
  }

  private recorded(
    tenure: Tenure,
    { isFirst, batches, rejectedKeys }: Extract<AppendResult, { kind: 'recorded' }>,
  ): void {
    this.setTrouble(tenure, false);
    if (isFirst) {
      tenure.fencedAt = this.clock.now();
      this.logTakeoverStep(tenure, 'earlier_owners_fenced', {});
      this.load(tenure);
    }
    this.requests.ownershipConfirmed();
    rejectedKeys.forEach((key) => {
      this.stepScheduler({ kind: 'rejected', key });
    });
    batches.forEach((batch) => {
      this.stepScheduler({ kind: 'committed', batch });
    });
    tenure.writer.send();
    this.resignIfReady();
  }

  private setTrouble(tenure: Tenure, isTroubled: boolean): void {
    if (tenure.hasStoreTrouble === isTroubled) {
      return;
    }
    tenure.hasStoreTrouble = isTroubled;
    this.members.forEach((port) => {
      port.notifyTrouble(isTroubled);
    });
  }

  /** A member without a term has nothing to do regularly, and is not woken. */
  private tickLater(): void {
    const isNeeded = this.tenure !== undefined || this.resignation !== undefined;
    if (isNeeded && !this.isTicking) {
      this.isTicking = true;
      const dueAt = deadlineAfter(this.clock.now(), TICK_INTERVAL_MILLIS);
      this.postAt(dueAt, { kind: 'tick', dueAt });
    }
  }

  private tick(dueAt: Deadline): void {
    this.resignIfReady();
    const { tenure } = this;
    if (tenure === undefined) {
      return;
    }
    const now = this.clock.now();
    tenure.writer.observeLag(now - dueAt);
    if (tenure.writer.isStalled) {
      this.setTrouble(tenure, true);
    }
    tenure.witnesses.ask();
    this.logRenewals(tenure);
    this.settleTakeover(tenure, now);
    this.startServing();
    this.recordWitnesses(tenure);
    if (tenure.scheduler !== undefined) {
      this.stepScheduler({ kind: 'lag', millis: now - dueAt });
      if (!tenure.writer.isStoreHealthy) {
        this.refuseUnsent(tenure.scheduler, now);
      }
      if (!this.isPassScheduled) {
        this.place(tenure);
      }
      this.logFigures(tenure, tenure.scheduler, now);
    }
    if (tenure.writer.needsKeepAlive) {
      tenure.writer.keepAlive(this.options.settings.member);
    }
  }

  /** Logs by what the owner renews leases, when that changes. */
  private logRenewals(tenure: Tenure): void {
    const { grounds, millisOffline } = tenure.witnesses;
    if (tenure.loggedRenewsBy !== grounds && millisOffline !== undefined) {
      tenure.loggedRenewsBy = grounds;
      this.options.events.event('owner.renews', {
        term: tenure.term,
        by: grounds,
        proofAgeMillis: Math.round(millisOffline),
        members: this.members.size,
      });
    }
  }

  private logFigures(tenure: Tenure, scheduler: JobScheduler, now: Instant): void {
    if (!hasPassed(tenure.nextFiguresAt, now)) {
      return;
    }
    tenure.nextFiguresAt = deadlineAfter(now, FIGURES_INTERVAL_MILLIS);
    this.options.events.event('owner.figures', {
      term: tenure.term,
      ...scheduler.figures(),
      members: this.members.size,
      pendingRequests: this.requests.size,
      configurationAgeMillis: ageMillis(this.confirmedAt, now),
    });
    this.options.events.event('waiting.reasons', {
      term: tenure.term,
      ...scheduler.waitingReasons(),
    });
  }

  /**
   * Hands the work over when asked to. While the store is slow it waits until the deadline: a
   * successor would be slow to take over, and the work would have no owner meanwhile.
   */
  private resignIfReady(): void {
    const { resignation, tenure } = this;
    if (resignation === undefined) {
      return;
    }
    const isOverdue = hasPassed(resignation.by, this.clock.now());
    if (tenure !== undefined && tenure.writer.isSlow && !isOverdue) {
      return;
    }
    this.isHandingOver = true;
    if (!isOverdue || tenure?.writer.isStoreAway !== true) {
      // Otherwise the last batch would not be stored either, and its submissions can still be handed back.
      tenure?.writer.finish();
    }
    if (tenure === undefined || tenure.writer.isIdle || isOverdue) {
      this.resignation = undefined;
      this.standDown('resigned');
      resignation.reply(tenure?.term);
    }
  }

  /** Ends the term; members resend unanswered requests to the next owner. */
  private standDown(reason: string): void {
    const { tenure } = this;
    if (tenure === undefined) {
      return;
    }
    this.tenure = undefined;
    tenure.hasEnded = true;
    tenure.watch.stop();
    tenure.evacuationsWatch?.stop();
    tenure.links.closeAll();
    this.requests.dropAll((token) => {
      const job = this.submissions.jobOf(token);
      return job !== undefined && tenure.scheduler?.isUnsent(job) === true;
    });
    this.submissions.clear();
    this.options.events.event('owner.stood_down', { term: tenure.term, reason });
    this.ownership?.post({ kind: 'stood_down', term: tenure.term });
  }
}

/** Messages that may be queued: several times the reports and orders of a few hundred workers. */
const OWNER_MAILBOX_CAPACITY = 65_536;
