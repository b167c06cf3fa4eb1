/** Calls to the daemons, one after another until one has answered. */

import { createClient, type CallOptions, type Client, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import {
  CallerService,
  OperatorService,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Secret } from '@bamboowell/logger/secret';
import { deadlineAfter, hasPassed, millisUntil, type Deadline } from '@bamboowell/types/time';
import {
  FailedCallError,
  failureOf,
  isRetryableElsewhere,
  plainFailure,
  type CallKind,
  type Failure,
} from './failure.js';

/** The services of one daemon. */
export interface Services {
  readonly caller: Client<typeof CallerService>;
  readonly operator: Client<typeof OperatorService>;
}

/** One attempt at a call. */
export interface Attempt extends Services {
  readonly options: CallOptions;
  /** How long the daemon may take, for the request's own field. */
  readonly timeoutMillis: number;
}

/** Time for a daemon's own answer to a passed deadline to arrive. */
const ANSWER_GRACE_MILLIS = 1000;

/** The daemons that a command may ask, in order. */
export class Daemons {
  constructor(
    private readonly urls: readonly string[],
    private readonly key: Secret | undefined,
    private readonly clock: Clock,
  ) {}

  /**
   * Asks the daemons in turn. The next one is asked only if the attempt before certainly did not
   * run and another daemon may do better.
   * @throws FailedCallError with what the last one said.
   */
  async call<Response>(
    kind: CallKind,
    deadline: Deadline,
    call: (attempt: Attempt) => Promise<Response>,
  ): Promise<Response> {
    let failure: Failure = plainFailure('not_run', 'unreachable', 'there is no daemon to ask');
    for (const url of this.urls) {
      try {
        return await this.attempt(url, deadline, call);
      } catch (error) {
        failure = failureOf(error, kind, url);
      }
      if (!isRetryableElsewhere(failure) || hasPassed(deadline, this.clock.now())) {
        break;
      }
    }
    throw new FailedCallError(failure);
  }

  private async attempt<Response>(
    url: string,
    deadline: Deadline,
    call: (attempt: Attempt) => Promise<Response>,
  ): Promise<Response> {
    const timeoutMillis = Math.max(1, Math.round(millisUntil(deadline, this.clock.now())));
    const controller = new AbortController();
    const giveUpAt = deadlineAfter(this.clock.now(), timeoutMillis + ANSWER_GRACE_MILLIS);
    const alarm = this.clock.wakeAt(giveUpAt, () => {
      controller.abort();
    });
    try {
      const options = { signal: controller.signal };
      return await call({ ...this.servicesOf(url), options, timeoutMillis });
    } finally {
      alarm.cancel();
    }
  }

  private servicesOf(url: string): Services {
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '1.1',
      interceptors: this.key === undefined ? [] : [authorization(this.key)],
    });
    return {
      caller: createClient(CallerService, transport),
      operator: createClient(OperatorService, transport),
    };
  }
}

function authorization(key: Secret): Interceptor {
  return (next) => (request) => {
    request.header.set('Authorization', `Bearer ${key.reveal()}`);
    return next(request);
  };
}
