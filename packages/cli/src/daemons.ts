/** Calls daemons one after another until one answers. */

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

/** Clients for the services of one daemon. */
export interface Services {
  readonly caller: Client<typeof CallerService>;
  readonly operator: Client<typeof OperatorService>;
}

/** Clients and options for one attempt at a call. */
export interface Attempt extends Services {
  readonly options: CallOptions;
  /** How long the daemon may take, for requests that have a field for it. */
  readonly timeoutMillis: number;
}

/** Extra time for the daemon's own refusal to arrive after the deadline has passed. */
const ANSWER_GRACE_MILLIS = 1000;

/** The daemons that a command may call, in order. */
export class Daemons {
  constructor(
    private readonly urls: readonly string[],
    private readonly key: Secret | undefined,
    private readonly clock: Clock,
  ) {}

  /**
   * Calls the daemons in turn. The next one is called only if the previous attempt certainly did not
   * run and another daemon may succeed.
   * @throws FailedCallError with the failure of the last attempt.
   */
  async call<Response>(
    kind: CallKind,
    deadline: Deadline,
    send: (attempt: Attempt) => Promise<Response>,
  ): Promise<Response> {
    let failure: Failure = plainFailure('not_run', 'unreachable', 'no daemon was given');
    for (const url of this.urls) {
      try {
        return await this.attempt(url, deadline, send);
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
    send: (attempt: Attempt) => Promise<Response>,
  ): Promise<Response> {
    const timeoutMillis = Math.max(1, Math.round(millisUntil(deadline, this.clock.now())));
    const controller = new AbortController();
    const giveUpAt = deadlineAfter(this.clock.now(), timeoutMillis + ANSWER_GRACE_MILLIS);
    const alarm = this.clock.wakeAt(giveUpAt, () => {
      controller.abort();
    });
    try {
      const options = { signal: controller.signal };
      return await send({ ...this.servicesOf(url), options, timeoutMillis });
    } finally {
      alarm.cancel();
    }
  }

  private servicesOf(url: string): Services {
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '1.1',
      interceptors: this.key === undefined ? [] : [authorizationInterceptor(this.key)],
    });
    return {
      caller: createClient(CallerService, transport),
      operator: createClient(OperatorService, transport),
    };
  }
}

function authorizationInterceptor(key: Secret): Interceptor {
  return (next) => (request) => {
    request.header.set('Authorization', `Bearer ${key.reveal()}`);
    return next(request);
  };
}
