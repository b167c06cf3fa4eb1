/** Logs of events, one line of key=value pairs for each. */

import { format } from 'node:util';
import createDebug, { type Debugger } from 'debug';
import { lineOf, type Fields } from './line.js';

export const NAMESPACE = 'bamboowell';

/** Takes events. Subclasses differ in where they go. */
export abstract class EventLog {
  /** Logs one event. `name` is stable, such as `claim.won`; it never holds a value. */
  abstract event(name: string, fields?: Fields): void;
}

/**
 * Writes events to standard error through the `debug` library.
 * They show when `DEBUG` names the namespace, as in `DEBUG=bamboowell:*`.
 */
export class DebugLog extends EventLog {
  private readonly debugger: Debugger;

  /**
   * @param component names the part of the process, and with it the namespace.
   * @param write takes finished lines in place of standard error.
   */
  constructor(component: string, write?: (line: string) => void) {
    super();
    this.debugger = createDebug(`${NAMESPACE}:${component}`);
    if (write !== undefined) {
      this.debugger.log = (...parts: unknown[]) => {
        write(format(...parts));
      };
    }
  }

  event(name: string, fields: Fields = {}): void {
    if (this.debugger.enabled) {
      this.debugger('%s', lineOf(name, fields));
    }
  }
}

/** Turns the events of all components on, unless `chosen` names the namespaces to show. */
export function enableEvents(chosen: string | undefined): void {
  createDebug.enable(chosen ?? `${NAMESPACE}:*`);
}
