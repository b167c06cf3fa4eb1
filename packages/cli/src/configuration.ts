/** Reads and changes the configuration through the daemons. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Change, Configuration } from '@bamboowell/types/declarations';
import { brandAs, type Version } from '@bamboowell/types/ids';
import { deadlineAfter, earlier, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Daemons } from './daemons.js';
import { decodeConfiguration, encodeChange } from './encoding.js';
import { FailedCallError } from './failure.js';

/** A configuration as one daemon knows it. */
export interface KnownConfiguration {
  readonly configuration: Configuration;
  /** Whether the daemon can show that no later version exists. */
  readonly fresh: boolean;
}

export async function fetchConfiguration(
  daemons: Daemons,
  deadline: Deadline,
): Promise<KnownConfiguration> {
  const { configuration, fresh } = await daemons.call('read', deadline, ({ operator, options }) =>
    operator.getConfiguration({}, options),
  );
  return { configuration: decodeConfiguration(configuration), fresh };
}

/** Applies the changes if `base` is still current, and returns the version that they made. */
export async function applyChanges(
  daemons: Daemons,
  deadline: Deadline,
  base: Version,
  changes: readonly Change[],
): Promise<Version> {
  const messages = changes.map(encodeChange);
  const { version } = await daemons.call(
    'write',
    deadline,
    ({ operator, options, timeoutMillis }) =>
      operator.applyChanges({ base, changes: messages, timeoutMillis }, options),
  );
  return brandAs<Version>(version);
}

/** How far a version has spread. */
export type Enforcement =
  | { readonly kind: 'everywhere' }
  /** Daemons that had not confirmed when the time was up. */
  | { readonly kind: 'pending'; readonly members: readonly string[] }
  /** No daemon could tell. */
  | { readonly kind: 'unknown'; readonly detail: string };

const ENFORCEMENT_INTERVAL_MILLIS = 250;

/** Asks until the version is in force everywhere or the deadline has passed. */
export async function waitForEnforcement(
  daemons: Daemons,
  clock: Clock,
  deadline: Deadline,
  version: Version,
  onPending: (enforcement: Enforcement) => void,
): Promise<Enforcement> {
  for (;;) {
    const enforcement = await fetchEnforcement(daemons, deadline, version);
    if (enforcement.kind === 'everywhere' || hasPassed(deadline, clock.now())) {
      return enforcement;
    }
    onPending(enforcement);
    const next = deadlineAfter(clock.now(), ENFORCEMENT_INTERVAL_MILLIS);
    await clock.sleepUntil(earlier(deadline, next));
  }
}

async function fetchEnforcement(
  daemons: Daemons,
  deadline: Deadline,
  version: Version,
): Promise<Enforcement> {
  try {
    const { everywhere, members } = await daemons.call('read', deadline, ({ operator, options }) =>
      operator.getEnforcement({ version }, options),
    );
    const unconfirmed = members.filter((member) => !member.reachable || member.version < version);
    return everywhere
      ? { kind: 'everywhere' }
      : { kind: 'pending', members: unconfirmed.map(({ member }) => member) };
  } catch (error) {
    if (error instanceof FailedCallError) {
      return { kind: 'unknown', detail: error.failure.detail };
    }
    throw error;
  }
}

/** One sentence about how far a version has spread. */
export function describeEnforcement(version: Version, enforcement: Enforcement): string {
  switch (enforcement.kind) {
    case 'everywhere':
      return `version ${version} is in force everywhere`;
    case 'pending':
      return `version ${version} is not confirmed by ${enforcement.members.join(', ')}`;
    case 'unknown':
      return `version ${version} was accepted; where it is in force is unknown: ${enforcement.detail}`;
  }
}
