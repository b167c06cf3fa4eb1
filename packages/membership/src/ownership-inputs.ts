/** Converts the views of the members task into the inputs of the ownership decisions. */

import type { Candidate } from '@bamboowell/ownership/claims';
import type { ConfigurationStatement } from '@bamboowell/ownership/configuration-freshness';
import type { Voters, Votes } from '@bamboowell/ownership/electorate';
import type { MemberStatement } from '@bamboowell/ownership/ownership-freshness';
import type { MemberId, RegionId } from '@bamboowell/types/ids';
import type { MembersEvent, MemberView } from './members-messages.js';

type View = Extract<MembersEvent, { kind: 'view' }>;

/** Identity of this member. */
export interface OwnMember {
  readonly member: MemberId;
  readonly region: RegionId;
}

/**
 * The members, without this one, from which heartbeats must arrive while the log does not answer.
 */
export interface ExpectedMembers {
  /** For the freshness of owners. */
  readonly region: readonly MemberId[];
  /** For the freshness of the configuration. */
  readonly cell: readonly MemberId[];
}

/** The region of a member, if it is listed or has sent a heartbeat. */
export function regionOf(member: MemberView): RegionId | undefined {
  return member.heard?.heartbeat.region ?? member.listed?.region;
}

/**
 * Returns all members that this one knows of and those from which others receive heartbeats. A
 * member of an unknown region is expected in every region, so that a lagging list hides nobody who
 * may vote or claim.
 */
export function expectedMembers(view: View, self: OwnMember): ExpectedMembers {
  const regions = new Map(view.members.map((member) => [member.member, regionOf(member)]));
  const heardByOthers = view.members.flatMap(({ heard }) => heard?.heartbeat.hears ?? []);
  const cell = [...new Set([...regions.keys(), ...heardByOthers])].filter(
    (one) => one !== self.member,
  );
  const region = cell.filter((one) => (regions.get(one) ?? self.region) === self.region);
  return { region, cell };
}

/** The members of the region that may be given shards. */
export function candidatesOf(view: View, self: OwnMember): Candidate[] {
  const others = inRegion(view, self).map(({ member, heard, suspected, leaving }) => ({
    member,
    live: heard !== undefined && !suspected,
    leaving,
  }));
  return [{ member: self.member, live: true, leaving: view.leaving }, ...others];
}

/** The members whose suspicions count as votes, including those that are silent. */
export function votersOf(view: View, self: OwnMember): Voters {
  const { region, cell } = expectedMembers(view, self);
  const witnesses = cell.filter((member) => !region.includes(member));
  return { region: [self.member, ...region], witnesses };
}

/** Which members each member suspects. Counts only members that are not suspected themselves. */
export function votesOf(view: View, self: OwnMember): Votes {
  const heard = view.members.filter((member) => !member.suspected);
  const votes = heard.flatMap(({ member, heard: last }) =>
    last === undefined ? [] : [[member, new Set(last.heartbeat.suspects)] as const],
  );
  return new Map([...votes, [self.member, view.suspects]]);
}

/**
 * What the member stated about owners; undefined if its latest heartbeat can't be dated by an echo.
 */
export function statementOf({ member, heard }: MemberView): MemberStatement | undefined {
  if (heard?.madeAfter === undefined) {
    return undefined;
  }
  const { incarnation, logAnswers, unresolvedClaims, epochs, phase } = heard.heartbeat;
  return {
    member,
    incarnation,
    madeAfter: heard.madeAfter,
    logAnswers,
    unresolvedClaims,
    epochs: new Map(epochs.map(({ shard, epoch }) => [shard, epoch])),
    left: phase === 'left',
  };
}

/**
 * What the member stated about its configuration; undefined if its latest heartbeat can't be dated
 * by an echo.
 */
export function configurationStatementOf({
  member,
  heard,
}: MemberView): ConfigurationStatement | undefined {
  if (heard?.madeAfter === undefined) {
    return undefined;
  }
  const { logAnswers, cellUpTo, phase } = heard.heartbeat;
  return { member, madeAfter: heard.madeAfter, logAnswers, upTo: cellUpTo, left: phase === 'left' };
}

function inRegion(view: View, self: OwnMember): MemberView[] {
  return view.members.filter((member) => regionOf(member) === self.region);
}
