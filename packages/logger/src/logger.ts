/** Event logs: each event is one line of key=value pairs. */

import { format } from 'node:util';
import createDebug, { type Debugger } from 'debug';
import { lineOf, type Fields } from './line.js';

export const NAMESPACE = 'bamboowell';

/** Records events. Subclasses decide where they are written. */
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
   * @param component the part of the process that logs; the namespace ends with it.
   * @param write receives the formatted lines instead of standard error.
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

/** Enables the events of the given namespaces, or of all components if none are given. */
export function enableEvents(namespaces: string | undefined): void {
  createDebug.enable(namespaces ?? `${NAMESPACE}:*`);
}
