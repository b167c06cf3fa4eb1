/** Candidates and orderings for tests of the ordering. */

import { brandAs, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { resourcesOf, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import { FairShare } from './fair-share.js';
import type { Candidate, Round } from './ordering.js';

const CAPACITY = resourcesOf(() => 100_000);

export function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

export function team(id: string): TeamId {
  return brandAs<TeamId>(id);
}

export function cores(count: number): Resources {
  return { millicores: count * 1000, memoryMib: 0, accelerators: 0, slots: 0 };
}

export function candidateOf(id: string, teamId: string, more: Partial<Candidate> = {}): Candidate {
  return {
    work: brandAs<WorkId>(id),
    team: team(teamId),
    queue: brandAs(`queue-${teamId}`),
    urgency: 'ordinary',
    demand: cores(1),
    gangSize: 1,
    waitingSince: at(0),
    ...more,
  };
}

export function orderingOf(...candidates: Candidate[]): FairShare {
  const ordering = new FairShare();
  ordering.setCapacity(CAPACITY);
  for (const candidate of candidates) {
    ordering.put(candidate);
  }
  return ordering;
}

export function drain(round: Round): string[] {
  const found: string[] = [];
  for (let next = round.next(); next !== undefined; next = round.next()) {
    found.push(next.work);
  }
  return found;
}

export function manyOf(teamId: string, count: number, more: Partial<Candidate> = {}): Candidate[] {
  return Array.from({ length: count }, (_, index) =>
    candidateOf(`${teamId}${index}`, teamId, more),
  );
}
