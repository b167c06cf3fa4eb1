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
  /** Whether the daemon can prove that no later version exists. */
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

/** Applies the changes if `base` is still the current version. Returns the new version. */
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

/** Whether a version is in force on all daemons. */
export type Enforcement =
  | { readonly kind: 'everywhere' }
  /** `members` are the daemons that have not confirmed the version yet. */
  | { readonly kind: 'pending'; readonly members: readonly string[] }
  /** No daemon reported whether it is in force; `detail` says why. */
  | { readonly kind: 'unknown'; readonly detail: string };

const ENFORCEMENT_INTERVAL_MILLIS = 250;

/** Polls until the version is in force everywhere or the deadline has passed. */
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

/** Describes in one sentence whether a version is in force. */
export function describeEnforcement(version: Version, enforcement: Enforcement): string {
  switch (enforcement.kind) {
    case 'everywhere':
      return `version ${version} is in force everywhere`;
    case 'pending':
      return `version ${version} is not confirmed by ${enforcement.members.join(', ')}`;
    case 'unknown':
      return `version ${version} was accepted, but where it is in force is unknown: ${enforcement.detail}`;
  }
}
