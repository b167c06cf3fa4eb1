/** Commands for keys: `key grant`, `key withdraw` and `key list`. */

import { createHash, randomBytes } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { ID_PATTERN, ID_DESCRIPTION } from '@bamboowell/config/fields';
import type { Change, Configuration, Key } from '@bamboowell/types/declarations';
import { brandAs, type KeyId, type TeamId } from '@bamboowell/types/ids';
import { fetchConfiguration } from '../configuration.js';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import { FailedCallError, plainFailure } from '../failure.js';
import { UsageError } from '../inputs.js';
import type { Output } from '../output.js';
import { applyAndWait } from './apply-and-wait.js';
import { CATEGORIES, DaemonCommand } from './daemon-command.js';

const SECRET_BYTES = 32;
const ID_SUFFIX_BYTES = 4;

/** How many times a change is recomputed after a conflict with a newer version. */
const MAX_CONFLICTS = 5;

/** A change to one key and what to report about it. */
interface KeyChange {
  readonly id: KeyId;
  readonly change: Change;
  readonly lines: readonly string[];
  readonly json: object;
}

/** Changes one key. Does not depend on other operators' changes, so it is retried after a conflict. */
abstract class KeyChangeCommand extends DaemonCommand {
  readonly isWaiting = Option.Boolean('--wait', false, {
    description: 'wait until the change is in force everywhere',
  });

  /** Computes the change to the current configuration. */
  protected abstract changeOf(configuration: Configuration): KeyChange;

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    for (let conflicts = 0; ; conflicts += 1) {
      const { configuration } = await fetchConfiguration(daemons, this.deadline());
      const { id, change, lines, json } = this.changeOf(configuration);
      try {
        return await applyAndWait(daemons, output, this.context.clock, {
          base: configuration.version,
          changes: [change],
          lines,
          json,
          deadline: () => this.deadline(),
          isWaiting: this.isWaiting,
        });
      } catch (error) {
        if (!isConflict(error) || conflicts >= MAX_CONFLICTS) {
          throw withHint(error, id);
        }
      }
    }
  }
}

/** Adds a hint on how to check a change whose outcome is unknown. */
function withHint(error: unknown, id: KeyId): unknown {
  if (!(error instanceof FailedCallError) || error.failure.verdict !== 'may_have_run') {
    return error;
  }
  const detail = `${error.failure.detail}; bamboowell key list shows the state of key ${id}`;
  return new FailedCallError({ ...error.failure, detail });
}

function isConflict(error: unknown): boolean {
  return error instanceof FailedCallError && error.failure.reason === 'configuration_conflict';
}

export class KeyGrantCommand extends KeyChangeCommand {
  static override paths = [['key', 'grant']];
  static override usage = Command.Usage({
    category: CATEGORIES.keys,
    description: 'create a key for a team or an operator',
    details: `Prints the key once; only a hash of its secret is kept. Put it into BAMBOOWELL_KEY or a file for --key-file. ${EXIT_CODES_HELP}`,
    examples: [
      ['A key for a team', '$0 key grant --team aero-labs'],
      ['A key for an operator', '$0 key grant --operator --id asha'],
    ],
  });

  readonly team = Option.String('--team', { description: 'team that the key is for' });
  readonly isOperator = Option.Boolean('--operator', false, {
    description: 'create an operator’s key',
  });
  readonly id = Option.String('--id', { description: 'id of the key; generated if left out' });

  /** Generated once, so that a retry grants the same key. */
  private readonly secret = randomBytes(SECRET_BYTES).toString('base64url');
  private readonly idSuffix = randomBytes(ID_SUFFIX_BYTES).toString('hex');

  protected override changeOf(configuration: Configuration): KeyChange {
    const key = this.newKey();
    if (configuration.keys.has(key.id)) {
      throw new FailedCallError(
        plainFailure('not_run', 'invalid_configuration', `the key ${key.id} already exists`),
      );
    }
    const keyText = `${key.id}.${this.secret}`;
    return {
      id: key.id,
      change: { kind: 'put_key', key },
      lines: [keyText],
      json: { id: key.id, team: key.team, key: keyText },
    };
  }

  private newKey(): Key {
    const { team, isOperator } = this;
    if ((team === undefined) !== isOperator) {
      throw new UsageError('expected either --team or --operator');
    }
    const id = this.id ?? `${team ?? 'operator'}-${this.idSuffix}`;
    if (!ID_PATTERN.test(id)) {
      throw new UsageError(`--id: expected ${ID_DESCRIPTION}, found ${id}`);
    }
    return {
      id: brandAs<KeyId>(id),
      team: team === undefined ? null : brandAs<TeamId>(team),
      secretHash: createHash('sha256').update(this.secret).digest('hex'),
      withdrawn: false,
    };
  }
}

export class KeyWithdrawCommand extends KeyChangeCommand {
  static override paths = [['key', 'withdraw']];
  static override usage = Command.Usage({
    category: CATEGORIES.keys,
    description: 'withdraw a key permanently',
    details: `Takes the id of the key, which is the part before the dot. ${EXIT_CODES_HELP}`,
    examples: [
      ['Withdraw a key and wait until it is in force', '$0 key withdraw aero-labs-1f2e3d4c --wait'],
    ],
  });

  readonly id = Option.String({ name: 'ID' });

  protected override changeOf(configuration: Configuration): KeyChange {
    const id = brandAs<KeyId>(this.id);
    if (!configuration.keys.has(id)) {
      throw new FailedCallError(plainFailure('not_run', 'key_unknown', `there is no key ${id}`));
    }
    return {
      id,
      change: { kind: 'withdraw_key', id },
      lines: [`key ${id} is withdrawn`],
      json: { id },
    };
  }
}

export class KeyListCommand extends DaemonCommand {
  static override paths = [['key', 'list']];
  static override usage = Command.Usage({
    category: CATEGORIES.keys,
    description: 'list all keys',
    details: `Shows ids, never secrets. ${EXIT_CODES_HELP}`,
    examples: [['Rows of the valid keys', "$0 key list | awk -F '\\t' '$3 == \"valid\"'"]],
  });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const { configuration } = await fetchConfiguration(daemons, this.deadline());
    const keys = [...configuration.keys.values()];
    output.report({
      sections: [{ name: 'key', columns: ['id', 'for', 'state'], rows: keys.map(rowOf) }],
      json: keys.map(({ id, team, withdrawn }) => ({ id, team, withdrawn })),
    });
    return EXIT_CODES.done;
  }
}

function rowOf({ id, team, withdrawn }: Key): string[] {
  return [id, team ?? 'operators', withdrawn ? 'withdrawn' : 'valid'];
}
