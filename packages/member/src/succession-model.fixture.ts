/**
 * A model of members that claim the work from each other while paths are cut, processes are suspended, killed
 * and added, and calls to the store are late. It drives the decisions on renewals and successions without any
 * of the product's I/O, and records each moment at which an owner may renew leases though a later owner counts
 * on that it doesn't.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { brandAs, type Incarnation } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { incarnation, memberId, momentAt } from './moments.fixture.js';
import type { Moment } from './moment.js';
import { OwnershipProof, PROOF_LIFETIME_MILLIS } from './ownership-proof.js';
import {
  Succession,
  precedenceAfterLoading,
  renewalMillisAfter,
  type Precedence,
  type Takeover,
} from './succession.js';
import { WitnessList, type WitnessRecord } from './witness-list.js';
import type { Claim } from './ownership-messages.js';

const STEP_MILLIS = 50;
const DURATION_MILLIS = 60_000;
const FIRST_MEMBERS = ['m1', 'm2', 'm3', 'm4'];
const MAX_MEMBERS = 7;

/** State of a member that owns the work, or believes so. */
interface Ownership {
  readonly term: Term;
  readonly proof: OwnershipProof;
  readonly list: WitnessList;
  /** The record of witnesses that isn't known to be stored, and its number. */
  openRecord: { readonly number: number; readonly record: WitnessRecord } | undefined;
  readonly precedence: Precedence;
  /** Members that are connected to it. */
  readonly connected: Set<Process>;
  fencedAt: Moment | undefined;
  /** When no earlier owner renews leases any more, by this member's monotonic clock. */
  renewalsEnd: number | undefined;
  isSettled: boolean;
}

interface Process {
  readonly name: string;
  readonly incarnation: Incarnation;
  readonly succession: Succession;
  isAlive: boolean;
  suspendedMillis: number;
  resumesAt: number;
  known: Claim | undefined;
  /** End of the log of claims as far as it has been read; undefined before that. */
  end: number | undefined;
  unresolvedEnd: number | undefined;
  isClaiming: boolean;
  sentClaim: { readonly term: Term; readonly precedence: Precedence } | undefined;
  connectedTo: Process | undefined;
  ownership: Ownership | undefined;
}

/** Whether an owner renews leases; varied to show that the model finds what a weaker rule allows. */
export type RenewalRule = (ownership: Ownership, now: Moment) => boolean;

export const byProof: RenewalRule = ({ proof }, now) => proof.grounds(now) !== 'nothing';

/** The rule that an owner follows while any member is connected to it. */
export const whileConnected: RenewalRule = ({ proof, connected }, now) =>
  connected.size > 0 || proof.grounds(now) === 'store';

/** Dismisses a member that shuts down; varied to show that the model finds what a weaker rule allows. */
export type DismissalRule = (ownership: Ownership, member: Process) => void;

export const onceUnlisted: DismissalRule = ({ list }, { name, incarnation: own }) => {
  list.dismiss(memberId(name), own);
};

/** The rule that an owner follows while its stored record may still list the member. */
export const atOnce: DismissalRule = ({ proof }, { name, incarnation: own }) => {
  proof.dismiss(memberId(name), own);
};

export interface ModelRun {
  readonly violations: readonly string[];
  /** Owners that have fenced those before them. */
  readonly takeovers: number;
  /** Takeovers of owners that count on the record of witnesses alone. */
  readonly listedTakeovers: number;
  /** Steps in which an owner renewed leases on attestations of its witnesses. */
  readonly offlineSteps: number;
}

export function runSuccessionModel(
  seed: number,
  mayRenew: RenewalRule = byProof,
  dismiss: DismissalRule = onceUnlisted,
): ModelRun {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number): number =>
    from + (to - from) * (uniformInt(generator, 0, 0x7fff_ffff) / 0x7fff_ffff);
  const chance = (probability: number): boolean => draw(0, 1) < probability;
  let now = 0;
  const agenda: { readonly at: number; readonly act: () => void }[] = [];
  const processes: Process[] = [];
  const violations: string[] = [];
  let takeovers = 0;
  let listedTakeovers = 0;
  let offlineSteps = 0;
  let records = 0;
  let storedRecord: Ownership['openRecord'];
  let incarnations = 0;
  const claims: Claim[] = [];
  let fencedTerm = brandAs<Term>(0);
  let takeover: Takeover | undefined;
  /** Sides of a cut; a member without a side reaches all. */
  const sides = new Map<string, number>();
  /** Paths that are cut in one direction, such as `m1>m2` or `m1>store`. */
  const cutPaths = new Set<string>();

  const momentOf = ({ suspendedMillis }: Process): Moment =>
    momentAt(now - suspendedMillis, suspendedMillis);
  const isRunning = ({ isAlive, resumesAt }: Process): boolean => isAlive && resumesAt <= now;
  const reaches = (from: string, to: string): boolean =>
    (sides.get(from) ?? 0) === (sides.get(to) ?? 0) && !cutPaths.has(`${from}>${to}`);
  const reachesBoth = (left: string, right: string): boolean =>
    reaches(left, right) && reaches(right, left);
  const later = (millis: number, act: () => void): void => {
    agenda.push({ at: now + millis, act });
  };
  /** Acts in a process once it runs, unless it has ended by then. */
  const inProcess = (process: Process, millis: number, act: () => void): void => {
    later(millis, () => {
      if (process.isAlive && process.resumesAt > now) {
        inProcess(process, process.resumesAt - now, act);
      } else if (process.isAlive) {
        act();
      }
    });
  };
  const launch = (name: string): void => {
    incarnations += 1;
    processes.push({
      name,
      incarnation: incarnation(`${name}-${incarnations}`),
      succession: new Succession(),
      isAlive: true,
      suspendedMillis: 0,
      resumesAt: 0,
      known: undefined,
      end: undefined,
      unresolvedEnd: undefined,
      isClaiming: false,
      sentClaim: undefined,
      connectedTo: undefined,
      ownership: undefined,
    });
  };

  const standDown = (process: Process): void => {
    const { ownership } = process;
    if (ownership !== undefined) {
      process.ownership = undefined;
      process.succession.ended(ownership.term);
    }
  };
  const disconnect = (process: Process): void => {
    process.connectedTo = undefined;
  };
  const learn = (process: Process, claim: Claim | undefined, end: number | undefined): void => {
    process.end = Math.max(end ?? 0, process.end ?? 0);
    if (end === undefined && process.end === 0) {
      process.end = undefined;
    }
    if (claim === undefined || claim.term <= (process.known?.term ?? 0)) {
      return;
    }
    process.known = claim;
    disconnect(process);
    standDown(process);
    if (claim.incarnation === process.incarnation) {
      const precedence =
        process.sentClaim?.term === claim.term
          ? process.sentClaim.precedence
          : { predecessor: undefined, follows: brandAs<Term>(claim.term - 1), endsSoon: false };
      const proof = new OwnershipProof();
      process.ownership = {
        term: claim.term,
        proof,
        list: new WitnessList(claim.term, proof),
        openRecord: undefined,
        precedence,
        connected: new Set(),
        fencedAt: undefined,
        renewalsEnd: undefined,
        isSettled: false,
      };
    } else if (claim.member === memberId(process.name)) {
      process.succession.ended(claim.term);
    }
  };
  const canAttest = ({ known, end, unresolvedEnd, isClaiming }: Process, term: Term): boolean =>
    known?.term === term && !isClaiming && (unresolvedEnd === undefined || unresolvedEnd !== end);

  const readClaims = (process: Process): void => {
    if (reaches(process.name, 'store') && chance(0.2)) {
      later(draw(0, 20), () => {
        const newest = claims.at(-1);
        const end = claims.length;
        if (reaches('store', process.name)) {
          inProcess(process, draw(0, 300), () => {
            learn(process, newest, end);
          });
        }
      });
    }
  };
  const claim = (process: Process): void => {
    const { known, end, incarnation: own, name } = process;
    const precedence = process.succession.precedence(known);
    const term = brandAs<Term>((known?.term ?? 0) + 1);
    process.sentClaim = { term, precedence };
    process.isClaiming = true;
    const lateMillis = chance(0.7) ? draw(0, 50) : draw(0, 5000);
    later(lateMillis, () => {
      const hasWon = claims.length === end;
      if (hasWon) {
        const address = { host: name, port: 1 };
        claims.push({ term, member: memberId(name), incarnation: own, address, isReleased: false });
      }
      if (!hasWon && lateMillis < 500 && reaches('store', name)) {
        inProcess(process, 5, () => {
          process.isClaiming = false;
        });
      }
    });
    // Without an answer the claim is given up, and its fate is unknown.
    inProcess(process, 700, () => {
      if (process.isClaiming) {
        process.isClaiming = false;
        process.unresolvedEnd = end;
      }
    });
  };
  const append = (process: Process, ownership: Ownership): void => {
    const { term } = ownership;
    const sentAt = momentOf(process);
    const isLate = chance(0.1);
    const { openRecord } = ownership;
    later(isLate ? draw(0, 4000) : draw(0, 60), () => {
      const isTaken = term >= fencedTerm;
      if (isTaken && term > fencedTerm) {
        fencedTerm = term;
        takeovers += 1;
      }
      if (isTaken && openRecord !== undefined && openRecord.number > (storedRecord?.number ?? 0)) {
        storedRecord = openRecord;
      }
      if (isLate || !reaches('store', process.name)) {
        return;
      }
      inProcess(process, draw(0, 60), () => {
        if (process.ownership !== ownership) {
          return;
        }
        if (!isTaken) {
          standDown(process);
          return;
        }
        ownership.proof.confirm(sentAt);
        if (openRecord !== undefined && ownership.openRecord === openRecord) {
          ownership.openRecord = undefined;
          ownership.list.recordStored(openRecord.record);
        }
        ownership.fencedAt ??= momentOf(process);
        writeTakeover(process, ownership);
      });
    });
  };
  const writeTakeover = (process: Process, ownership: Ownership): void => {
    const { term, precedence, fencedAt, renewalsEnd } = ownership;
    const moment = momentOf(process);
    if (renewalsEnd === undefined && fencedAt !== undefined) {
      const self = memberId(process.name);
      const loaded = precedenceAfterLoading(precedence, self, storedRecord?.record);
      const millis = renewalMillisAfter(loaded, takeover);
      listedTakeovers += Number(loaded.endsSoon && !precedence.endsSoon);
      ownership.renewalsEnd = fencedAt.at + millis;
      ownership.isSettled = millis === PROOF_LIFETIME_MILLIS;
    } else if (renewalsEnd !== undefined && moment.at >= renewalsEnd) {
      ownership.isSettled = true;
    }
    if (term === fencedTerm) {
      takeover = { term, isWitnessed: ownership.isSettled };
    }
  };
  const connect = (process: Process): void => {
    const { known, connectedTo } = process;
    if (connectedTo !== undefined) {
      if (!connectedTo.isAlive || !reachesBoth(process.name, connectedTo.name)) {
        inProcess(process, draw(0, 1200), () => {
          if (process.connectedTo === connectedTo) {
            disconnect(process);
          }
        });
      }
      return;
    }
    const owner = processes.find(
      ({ isAlive, name }) => isAlive && known?.member === memberId(name) && name !== process.name,
    );
    if (known === undefined || owner === undefined || !reachesBoth(process.name, owner.name)) {
      return;
    }
    if (owner.incarnation !== known.incarnation) {
      process.succession.ended(known.term);
      return;
    }
    const { ownership } = owner;
    if (isRunning(owner) && ownership?.term === known.term) {
      ownership.list.join(memberId(process.name), process.incarnation, momentOf(owner));
      ownership.connected.add(process);
      process.succession.connected(known.term);
      process.connectedTo = owner;
    }
  };
  const recordWitnesses = (ownership: Ownership): void => {
    const isOpen = ownership.openRecord !== undefined || ownership.renewalsEnd === undefined;
    const record = isOpen ? undefined : ownership.list.takeRecord();
    if (record !== undefined) {
      records += 1;
      ownership.openRecord = { number: records, record };
    }
  };
  const own = (process: Process, ownership: Ownership): void => {
    recordWitnesses(ownership);
    if (reaches(process.name, 'store') && chance(0.25)) {
      append(process, ownership);
    }
    for (const member of ownership.connected) {
      if (!member.isAlive || !reachesBoth(process.name, member.name)) {
        inProcess(process, draw(0, 1200), () => {
          ownership.connected.delete(member);
        });
      } else if (chance(0.15)) {
        ask(process, ownership, member);
      }
    }
  };
  const ask = (process: Process, ownership: Ownership, member: Process): void => {
    const askedAt = momentOf(process);
    inProcess(member, draw(0, 300), () => {
      if (canAttest(member, ownership.term) && reaches(member.name, process.name)) {
        inProcess(process, draw(0, 300), () => {
          ownership.proof.attest(memberId(member.name), member.incarnation, askedAt);
        });
      }
    });
  };
  /** A member that has claimed nothing tells the owner that it claims nothing any more, and starts again. */
  const shutDown = (process: Process): void => {
    const { connectedTo, isClaiming, unresolvedEnd } = process;
    const ownership = connectedTo?.ownership;
    const mayLeave = !isClaiming && unresolvedEnd === undefined;
    const isHeard = connectedTo !== undefined && reaches(process.name, connectedTo.name);
    if (ownership !== undefined && connectedTo !== undefined && mayLeave && isHeard) {
      inProcess(connectedTo, draw(0, 100), () => {
        dismiss(ownership, process);
      });
    }
    process.isAlive = false;
    later(draw(100, 4000), () => {
      launch(process.name);
    });
  };
  const tell = (process: Process): void => {
    const other = processes[Math.floor(draw(0, processes.length))];
    if (other !== undefined && reaches(process.name, other.name) && chance(0.1)) {
      const { known } = process;
      inProcess(other, draw(0, 100), () => {
        learn(other, known, undefined);
      });
    }
  };
  const stepProcess = (process: Process): void => {
    readClaims(process);
    connect(process);
    tell(process);
    const { ownership, isClaiming, end, connectedTo } = process;
    if (ownership !== undefined) {
      own(process, ownership);
    } else if (end !== undefined && !isClaiming && reaches(process.name, 'store')) {
      if (chance(connectedTo === undefined ? 0.03 : 0.002)) {
        claim(process);
      }
    }
  };

  const faults = [
    (): void => {
      sides.clear();
      ['store', ...processes.map(({ name }) => name)].forEach((name) => {
        sides.set(name, chance(0.5) ? 1 : 0);
      });
      later(draw(1000, 16_000), () => {
        sides.clear();
      });
    },
    (): void => {
      const names = ['store', ...processes.map(({ name }) => name)];
      const pick = (): string => names[Math.floor(draw(0, names.length))] ?? 'store';
      const path = `${pick()}>${pick()}`;
      cutPaths.add(path);
      later(draw(1000, 16_000), () => cutPaths.delete(path));
    },
    (): void => {
      const process = processes[Math.floor(draw(0, processes.length))];
      if (process?.isAlive === true && process.resumesAt <= now) {
        const millis = draw(300, 12_000);
        process.resumesAt = now + millis;
        // The monotonic clock stands still meanwhile, and shows that from the start on.
        process.suspendedMillis += millis;
      }
    },
    (): void => {
      const process = processes[Math.floor(draw(0, processes.length))];
      if (process?.isAlive === true) {
        process.isAlive = false;
        later(draw(100, 4000), () => {
          launch(process.name);
        });
      }
    },
    (): void => {
      const process = processes[Math.floor(draw(0, processes.length))];
      if (process !== undefined && isRunning(process) && process.ownership === undefined) {
        shutDown(process);
      }
    },
    (): void => {
      const names = new Set(processes.map(({ name }) => name));
      if (names.size < MAX_MEMBERS) {
        launch(`m${names.size + 1}`);
      }
    },
  ];
  const check = (): void => {
    const owners = processes.filter((process) => isRunning(process));
    for (const next of owners) {
      const renewalsEnd = next.ownership?.renewalsEnd;
      if (renewalsEnd === undefined || momentOf(next).at < renewalsEnd) {
        continue;
      }
      for (const { ownership, ...process } of owners) {
        const isEarlier = ownership !== undefined && ownership.term < (next.ownership?.term ?? 0);
        if (isEarlier && mayRenew(ownership, momentOf({ ...process, ownership }))) {
          violations.push(`at ${now}: ${process.name} renews in term ${ownership.term}`);
        }
      }
    }
  };

  FIRST_MEMBERS.forEach(launch);
  let nextFaultAt = 2000;
  for (; now < DURATION_MILLIS; now += STEP_MILLIS) {
    const due = agenda.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at);
    const rest = agenda.filter(({ at }) => at > now);
    agenda.splice(0, agenda.length, ...rest);
    due.forEach(({ act }) => {
      act();
    });
    if (now >= nextFaultAt) {
      nextFaultAt = now + draw(100, 3000);
      faults[Math.floor(draw(0, faults.length))]?.();
    }
    processes.filter(isRunning).forEach(stepProcess);
    const isOffline = ({ ownership, ...process }: Process): boolean =>
      ownership?.proof.grounds(momentOf({ ...process, ownership })) === 'members';
    offlineSteps += Number(processes.filter(isRunning).some(isOffline));
    check();
  }
  return { violations, takeovers, listedTakeovers, offlineSteps };
}
