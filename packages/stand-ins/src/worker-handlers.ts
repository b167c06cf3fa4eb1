/** Posts the messages of a connection to the worker stand-in's task, which handles them. */

import type { z } from 'zod';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Epoch } from '@bamboowell/types/ids';
import type { WorkerConnection } from './worker-connection.js';
import type { WorkerCommands } from './worker-commands.js';
import {
  ATTACH,
  FORGET,
  INSPECT,
  RENEW,
  REPORT_AGAIN,
  START,
  STOP,
  SWITCHES,
  THROTTLE,
  type SwitchChange,
} from './worker-protocol.js';

/**
 * A message to the task: something to run. A control action runs even while the worker is frozen.
 */
export interface QueuedAction {
  readonly isControl: boolean;
  readonly run: () => void;
}

/** Handles the requests that only tests send. */
export interface TestControls {
  switch(change: SwitchChange): object;
  inspect(): object;
}

/** Registers the handlers of a new connection. */
export function registerHandlers(
  connection: WorkerConnection,
  task: MailboxAddress<QueuedAction>,
  commands: WorkerCommands,
  controls: TestControls,
): void {
  const registration = new HandlerRegistration(connection, task, commands);
  registration.onFenced('attach', ATTACH, ({ epoch }) => {
    commands.attach(connection, epoch);
  });
  registration.on('start', START, (start) => {
    commands.start(connection, start);
  });
  registration.onFenced('renew', RENEW, ({ leaseUntil }) => {
    commands.renew(leaseUntil);
  });
  registration.onFenced('stop', STOP, ({ attempt, checkpoint }) => {
    commands.stop(attempt, checkpoint);
  });
  registration.onFenced('throttle', THROTTLE, ({ attempt }) => {
    commands.throttle(attempt);
  });
  registration.onFenced('forget', FORGET, ({ attempts }) => {
    commands.forget(attempts);
  });
  registration.onRequest('report_again', REPORT_AGAIN, false, ({ attempt }) =>
    commands.reportAgain(attempt),
  );
  registration.onRequest('switches', SWITCHES, true, (change) => controls.switch(change));
  registration.onRequest('runs', INSPECT, true, () => controls.inspect());
}

class HandlerRegistration {
  constructor(
    private readonly connection: WorkerConnection,
    private readonly task: MailboxAddress<QueuedAction>,
    private readonly commands: WorkerCommands,
  ) {}

  /** Handles a notification. Malformed ones are dropped. */
  on<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handle: (params: z.output<Schema>) => void,
  ): void {
    this.connection.handle(method, (params) => {
      const parsed = schema.safeParse(params);
      if (parsed.success) {
        const run = (): void => {
          handle(parsed.data);
        };
        this.task.post({ isControl: false, run });
      }
    });
  }

  /** Handles a notification that carries an epoch, unless the epoch is too low. */
  onFenced<Schema extends z.ZodType<{ epoch: Epoch }>>(
    method: string,
    schema: Schema,
    handle: (params: z.output<Schema>) => void,
  ): void {
    this.on(method, schema, (params) => {
      if (this.commands.admit(this.connection, params.epoch)) {
        handle(params);
      }
    });
  }

  onRequest<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    isControl: boolean,
    answer: (params: z.output<Schema>) => unknown,
  ): void {
    this.connection.handle(method, (params) => {
      const parsed = schema.parse(params);
      return new Promise((resolve, reject) => {
        const run = (): void => {
          try {
            resolve(answer(parsed));
          } catch (error) {
            reject(error instanceof Error ? error : new Error(String(error)));
          }
        };
        this.task.post({ isControl, run });
      });
    });
  }
}
