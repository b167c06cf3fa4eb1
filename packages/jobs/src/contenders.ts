/**
 * Keeps registrations that name another process than the one in use under the same worker id. The store may take a
 * report of an earlier process in late, and another writer may use the id: a registration alone is no proof that the
 * process in use has ended, whose tasks would otherwise run twice (TWICE). The named process is asked, and takes the
 * place of the one in use once it has answered.
 */

import type { WorkerId } from '@bamboowell/types/ids';
import type { WorkerIncarnation, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';

export class Contenders {
  /** The newest one of each worker. */
  private readonly registrations = new Map<WorkerId, WorkerRegistration>();

  constructor(private readonly context: JobContext) {}

  /** Asks the process that the registration names, where the lease of an earlier owner may run until `lapsesAt`. */
  add(registration: WorkerRegistration, lapsesAt: Deadline): void {
    const { id, incarnation } = registration;
    const isKnown = this.registrations.get(id)?.incarnation === incarnation;
    if (!isKnown) {
      this.drop(id);
      this.context.emit({ kind: 'meet', registration, lapsesAt });
      this.context.event('registration.unproven', { worker: id, life: incarnation });
    }
    this.registrations.set(id, registration);
  }

  /** Forgets the contender of the worker: its registration is no longer in force, or its process has ended. */
  drop(id: WorkerId): void {
    const registration = this.registrations.get(id);
    if (registration !== undefined) {
      this.registrations.delete(id);
      this.context.emit({ kind: 'part', incarnation: registration.incarnation });
    }
  }

  /**
   * Returns and removes the contender of this incarnation, if there is one. Its link ends: the process in use may
   * have been called with a higher fence since, so that only the first report over a new link proves what runs.
   */
  take(incarnation: WorkerIncarnation): WorkerRegistration | undefined {
    for (const registration of this.registrations.values()) {
      if (registration.incarnation === incarnation) {
        this.drop(registration.id);
        return registration;
      }
    }
    return undefined;
  }

  /** Incarnations whose worker has no process in use any more. */
  unopposed(): WorkerIncarnation[] {
    return [...this.registrations.values()]
      .filter(({ id }) => !this.context.currentIncarnations.has(id))
      .map(({ incarnation }) => incarnation);
  }
}
