/** Requests of operators that a process answers beside its metrics. */

export interface OperatorAnswer {
  /** Status code of HTTP. */
  readonly status: number;
  /** Sent as JSON. */
  readonly body: unknown;
}

export abstract class OperatorEntry {
  abstract readonly path: string;

  /** @param body of a POST request. */
  abstract answer(body: string): Promise<OperatorAnswer>;
}
