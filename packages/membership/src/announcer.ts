/** Composes the heartbeats of this member and sends them to its peers. */

import type { Clock } from '@bamboowell/kernel/clock';
import { REMOTE_HEARTBEAT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import { HeartbeatSender } from './heartbeat-sender.js';
import {
  beatForOtherRegion,
  detailsForOtherRegion,
  FIRST_REPORT,
  type Beat,
  type Details,
  type Echo,
  type Phase,
  type Report,
} from './heartbeat.js';
import type { MembersSettings } from './members-settings.js';
import { echoOf, type Peer } from './peer.js';
import type { Peers } from './peers.js';
import { SentHeartbeats } from './sent-heartbeats.js';

export class Announcer {
  private readonly sent: SentHeartbeats;
  private readonly sender: HeartbeatSender;
  private report: Report = FIRST_REPORT;
  private reportAt: Instant;
  private currentPhase: Phase = 'serving';

  constructor(
    private readonly settings: MembersSettings,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.sent = new SentHeartbeats(settings.incarnation, clock.now());
    this.sender = new HeartbeatSender(settings.count);
    this.reportAt = clock.now();
  }

  get phase(): Phase {
    return this.currentPhase;
  }

  /** Whether the log answered this member, according to its last report. */
  get logAnswers(): boolean {
    return this.report.logAnswers;
  }

  /** Sets the report that the next heartbeats carry. All of it was true at `at`. */
  setReport(report: Report, at: Instant): void {
    this.report = report;
    this.reportAt = at;
  }

  setPhase(phase: Phase): void {
    this.currentPhase = phase;
  }

  /** When this member sent the heartbeat that a peer echoes. */
  sentAt(echo: Echo | null): Instant | undefined {
    return this.sent.sentAt(echo);
  }

  /** Sends a heartbeat to every peer for which one is due. */
  sendDue(suspects: ReadonlySet<MemberId>): void {
    const now = this.clock.now();
    this.sendTo(
      this.peers.all().filter((peer) => this.isDue(peer, now)),
      suspects,
    );
  }

  /** Sends a heartbeat to those of these peers that are connected. */
  sendTo(to: readonly Peer[], suspects: ReadonlySet<MemberId>): void {
    const sequence = this.sent.next(this.clock.now());
    const details = this.details();
    const remoteDetails = detailsForOtherRegion(details);
    for (const peer of to) {
      const beat = this.beatFor(peer, sequence, suspects);
      const echoed = this.echoedBy(peer);
      if (peer.connection !== undefined && this.isRemote(peer)) {
        this.sender.send(peer.connection, beatForOtherRegion(beat), remoteDetails, echoed);
      } else if (peer.connection !== undefined) {
        this.sender.send(peer.connection, beat, details, echoed);
      }
    }
  }

  /**
   * Whether a heartbeat to this peer is due; if so, the next one is scheduled. Heartbeats to other
   * regions are less frequent, because traffic between regions is billed by volume.
   */
  private isDue(peer: Peer, now: Instant): boolean {
    if (!this.isRemote(peer)) {
      return true;
    }
    const due = hasPassed(peer.nextHeartbeatAt, now);
    if (due) {
      peer.nextHeartbeatAt = deadlineAfter(now, REMOTE_HEARTBEAT_INTERVAL_MILLIS);
    }
    return due;
  }

  private isRemote(peer: Peer): boolean {
    const region = peer.heard?.heartbeat.region ?? peer.listed?.region;
    return region !== undefined && region !== this.settings.region;
  }

  /**
   * The sequence number of our newest heartbeat that the peer has echoed; zero if there is none.
   */
  private echoedBy(peer: Peer): number {
    const echo = peer.heard?.heartbeat.echo;
    return echo?.incarnation === this.settings.incarnation ? echo.sequence : 0;
  }

  private beatFor(peer: Peer, sequence: number, suspects: ReadonlySet<MemberId>): Beat {
    const { member, incarnation } = this.settings;
    const { logAnswers, version, cellUpTo, unresolvedClaims, owned } = this.report;
    return {
      member,
      incarnation,
      sequence,
      echo: echoOf(peer, this.reportAt),
      phase: this.currentPhase,
      suspects: [...suspects],
      logAnswers,
      version,
      cellUpTo,
      unresolvedClaims,
      owned,
    };
  }

  private details(): Details {
    const { region, dataCentre } = this.settings;
    const { epochs } = this.report;
    const heard = this.peers.all().filter((peer) => peer.heard !== undefined);
    return { region, dataCentre, hears: heard.map(({ member }) => member), epochs };
  }
}
