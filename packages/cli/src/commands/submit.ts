/** Commands that submit work: `submit service|batch|gang` and `call`. */

import { randomUUID } from 'node:crypto';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { MIB_PER_GIB, MILLICORES_PER_CORE } from '@bamboowell/config/declarations/schema';
import {
  Urgency,
  type SubmitRequestSchema,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { Daemons } from '../daemons.js';
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from '../exit-code.js';
import { nonNegativeInteger, positiveInteger, payloadFrom, nonNegativeNumber } from '../inputs.js';
import type { Output } from '../output.js';
import { linesSection } from '../report.js';
import { CATEGORIES, DaemonCommand } from './daemon-command.js';
import { watchWork } from './watch-work.js';

const URGENCIES = {
  urgent: Urgency.URGENT,
  ordinary: Urgency.ORDINARY,
  patient: Urgency.PATIENT,
} as const;

/** Options and request fields that durable work and quick calls share. */
abstract class RequestCommand extends DaemonCommand {
  readonly queue = Option.String('--queue', { required: true, description: 'queue to submit to' });
  readonly requestId = Option.String('--request-id', {
    description: 'your id for the request; a repeat with the same id gets the first answer',
  });
  readonly urgency = Option.String('--urgency', 'ordinary', {
    description: 'urgent, ordinary or patient',
    validator: t.isEnum(['urgent', 'ordinary', 'patient'] as const),
  });
  readonly cores = Option.String('--cores', {
    validator: nonNegativeNumber,
    description: 'cores per task',
  });
  readonly memoryGib = Option.String('--memory-gib', {
    validator: nonNegativeNumber,
    description: 'memory per task, GiB',
  });
  readonly accelerators = Option.String('--accelerators', {
    validator: nonNegativeInteger,
    description: 'accelerators per task',
  });
  readonly slots = Option.String('--slots', {
    validator: nonNegativeInteger,
    description: 'slots per task',
  });
  readonly isIdempotent = Option.Boolean('--idempotent', false, {
    description: 'the work may safely run more than once',
  });
  readonly payload = Option.String('--payload', { description: 'text for the worker' });
  readonly payloadFile = Option.String('--payload-file', {
    description: 'file with the text for the worker; - for standard input',
  });
  readonly dataCentre = Option.String('--data-centre', '', {
    description: 'data centre to run in; chosen within the region if left out',
  });

  /** The request fields that all kinds of work share. */
  protected async commonFields() {
    return {
      queue: this.queue,
      requestId: this.requestId ?? randomUUID(),
      urgency: URGENCIES[this.urgency],
      demand: this.demand(),
      idempotent: this.isIdempotent,
      payload: await payloadFrom(this.payload, this.payloadFile, this.context.stdin),
      dataCentre: this.dataCentre,
    };
  }

  private demand() {
    return {
      millicores: Math.ceil((this.cores ?? 0) * MILLICORES_PER_CORE),
      memoryMib: Math.ceil((this.memoryGib ?? 0) * MIB_PER_GIB),
      accelerators: this.accelerators ?? 0,
      slots: this.slots ?? 0,
    };
  }
}

type ShapeField = NonNullable<MessageInitShape<typeof SubmitRequestSchema>['shape']>;

/** Submits durable work. Subclasses differ in its shape. */
abstract class SubmitCommand extends RequestCommand {
  readonly expectedSeconds = Option.String('--expected-seconds', {
    validator: nonNegativeNumber,
    description: 'expected run time of a task',
  });
  readonly isCheckpointable = Option.Boolean('--checkpointable', false, {
    description: 'a task can be checkpointed and resumed elsewhere',
  });
  readonly isWatching = Option.Boolean('--watch', false, {
    description: 'follow the work item until it has ended',
  });

  protected abstract shape(): ShapeField;

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const request = {
      ...(await this.commonFields()),
      shape: this.shape(),
      expectedMillis: Math.round((this.expectedSeconds ?? 0) * MILLIS_PER_SECOND),
      checkpointable: this.isCheckpointable,
    };
    const { requestId } = request;
    output.note(`request id ${requestId}`);
    const { workId, repeated } = await daemons.call('write', this.deadline(), (attempt) =>
      attempt.caller.submit({ ...request, timeoutMillis: attempt.timeoutMillis }, attempt.options),
    );
    output.report({
      sections: [linesSection('work', [workId])],
      json: { workId, requestId, repeated },
    });
    if (repeated) {
      output.note('an earlier request with this id was already accepted');
    }
    return this.isWatching
      ? watchWork(daemons, output, this.context.clock, workId)
      : EXIT_CODES.done;
  }
}

const SUBMIT_DETAILS = `Prints the id of the accepted work item, and the request id on standard error. If the outcome is unknown (exit code 4), repeat the command with the same \`--request-id\`: the work item is not accepted twice. ${EXIT_CODES_HELP}`;

export class SubmitServiceCommand extends SubmitCommand {
  static override paths = [['submit', 'service']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'submit a long-running service',
    details: SUBMIT_DETAILS,
    examples: [['Two replicas', '$0 submit service --queue slot-swaps --replicas 2 --slots 1']],
  });

  readonly replicas = Option.String('--replicas', {
    validator: positiveInteger,
    description: 'number of replicas; 1 if left out',
  });

  protected override shape(): ShapeField {
    return { case: 'service', value: { replicas: this.replicas ?? 1 } };
  }
}

export class SubmitBatchCommand extends SubmitCommand {
  static override paths = [['submit', 'batch']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'submit tasks that run to completion',
    details: SUBMIT_DETAILS,
    examples: [
      [
        'Four tasks, and wait until they end',
        '$0 submit batch --queue run-plans --tasks 4 --cores 2 --memory-gib 4 --watch',
      ],
    ],
  });

  readonly tasks = Option.String('--tasks', {
    validator: positiveInteger,
    description: 'number of tasks; 1 if left out',
  });

  protected override shape(): ShapeField {
    return { case: 'batch', value: { tasks: this.tasks ?? 1 } };
  }
}

export class SubmitGangCommand extends SubmitCommand {
  static override paths = [['submit', 'gang']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'submit tasks that must all start together',
    details: SUBMIT_DETAILS,
    examples: [
      ['Eight together', '$0 submit gang --queue run-plans --tasks 8 --cores 4 --accelerators 1'],
    ],
  });

  readonly tasks = Option.String('--tasks', {
    required: true,
    validator: positiveInteger,
    description: 'number of tasks, which start together',
  });

  protected override shape(): ShapeField {
    return { case: 'gang', value: { tasks: this.tasks } };
  }
}

export class CallCommand extends RequestCommand {
  static override paths = [['call']];
  static override usage = Command.Usage({
    category: CATEGORIES.work,
    description: 'run a quick call and print its answer',
    details: `Prints the whole answer. A call that is not marked \`--idempotent\` runs at most once; after exit code 4, decide yourself whether it is safe to send it again. ${EXIT_CODES_HELP}`,
    examples: [['Hold a seat', '$0 call --queue seat-holds --payload \'{"seat": 7}\'']],
  });

  protected override async run(daemons: Daemons, output: Output): Promise<ExitCode> {
    const request = await this.commonFields();
    const { requestId } = request;
    output.note(`request id ${requestId}`);
    const { answer, worker, attemptId } = await daemons.call('write', this.deadline(), (attempt) =>
      attempt.caller.call({ ...request, timeoutMillis: attempt.timeoutMillis }, attempt.options),
    );
    output.report({
      sections: [linesSection('answer', [answer])],
      json: { answer, worker, attemptId, requestId },
    });
    return EXIT_CODES.done;
  }
}
