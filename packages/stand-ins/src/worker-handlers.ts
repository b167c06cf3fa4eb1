/** Turns what a connection says into turns of the worker stand-in's task. */

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

/** Something to do in a turn of the task. A control turn is taken even while it is frozen. */
export interface QueuedAction {
  readonly isControl: boolean;
  readonly run: () => void;
}

/** What tests ask for. */
export interface TestControls {
  switch(change: SwitchChange): object;
  inspect(): object;
}

/** Sets the handlers of a new connection. */
export function registerHandlers(
  connection: WorkerConnection,
  task: MailboxAddress<QueuedAction>,
  duties: WorkerCommands,
  controls: TestControls,
): void {
  const registration = new Registration(connection, task, duties);
  registration.onFenced('attach', ATTACH, ({ epoch }) => {
    duties.attach(connection, epoch);
  });
  registration.on('start', START, (start) => {
    duties.start(connection, start);
  });
  registration.onFenced('renew', RENEW, ({ leaseUntil }) => {
    duties.renew(leaseUntil);
  });
  registration.onFenced('stop', STOP, ({ attempt, checkpoint }) => {
    duties.stop(attempt, checkpoint);
  });
  registration.onFenced('throttle', THROTTLE, ({ attempt }) => {
    duties.throttle(attempt);
  });
  registration.onFenced('forget', FORGET, ({ attempts }) => {
    duties.forget(attempts);
  });
  registration.onRequest('report_again', REPORT_AGAIN, false, ({ attempt }) =>
    duties.reportAgain(attempt),
  );
  registration.onRequest('switches', SWITCHES, true, (change) => controls.switch(change));
  registration.onRequest('runs', INSPECT, true, () => controls.inspect());
}

class Registration {
  constructor(
    private readonly connection: WorkerConnection,
    private readonly task: MailboxAddress<QueuedAction>,
    private readonly duties: WorkerCommands,
  ) {}

  /** Handles a notification. One that is malformed is dropped. */
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
      if (this.duties.admit(this.connection, params.epoch)) {
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
