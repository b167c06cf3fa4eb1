/** Turns events in a simulated cell into observations. */

import type { CellEvent } from '@bamboowell/daemon/cell-messages';
import { z } from 'zod';
import { programOf } from '@bamboowell/stand-ins/worker-protocol';
import { taskOfAttempt, teamOfWork, workOfTask } from '@bamboowell/types/ids';
import type { Observation } from './observation.js';
import type { CellObserver } from './simulation/simulated-cell.js';
import type { RunObserver, Start } from './simulation/simulated-worker.js';

/** Every payload carries the name of its request, so that a run can be attributed to it. */
const attributedPayload = z.object({ request: z.string() });

export interface LoggedEvent {
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export class Recorder implements CellObserver {
  readonly observations: Observation[] = [];
  /** Events that the daemons logged. */
  readonly loggedEvents: LoggedEvent[] = [];
  private readonly idempotent = new Set<string>();

  constructor(private readonly now: () => number) {}

  /** The payload sent for a request: the trace's payload with the name of the request added. */
  static payloadOf(request: string, payload: string): string {
    return JSON.stringify({ ...programOf(payload), request });
  }

  markIdempotent(request: string): void {
    this.idempotent.add(request);
  }

  addObservation(observation: Observation): void {
    this.observations.push(observation);
  }

  eventLogged(daemon: string, name: string, fields: Readonly<Record<string, unknown>>): void {
    this.loggedEvents.push({ name, fields });
    if (name === 'shard_owned') {
      this.addObservation({
        at: this.now(),
        saw: 'owner',
        daemon,
        shard: String(fields.shard),
        epoch: Number(fields.epoch),
      });
    }
  }

  cellChanged(daemon: string, event: CellEvent): void {
    if (event.kind !== 'cell') {
      return;
    }
    const { version, teams, keys, queues } = event.configuration;
    const teamKeys = [...keys.values()].filter((key) => !key.withdrawn && key.team !== null);
    const openQueues = [...queues.values()].filter((queue) => queue.access.kind === 'open');
    this.addObservation({
      at: this.now(),
      saw: 'configuration',
      daemon,
      version,
      limits: Object.fromEntries([...teams.values()].map((team) => [team.id, team.limit])),
      keys: Object.fromEntries(teamKeys.map((key) => [key.id, key.team ?? ''])),
      openQueues: openQueues.map((queue) => queue.id),
    });
  }

  runObserverOf(worker: string): RunObserver {
    return {
      began: (start) => {
        this.addRun(worker, start);
      },
      ended: (attempt, answer) => {
        this.addObservation({ at: this.now(), saw: 'run_ended', worker, attempt, answer });
      },
    };
  }

  private addRun(worker: string, { attempt, demand, payload }: Start): void {
    const task = taskOfAttempt(attempt);
    const request = requestIn(payload);
    this.addObservation({
      at: this.now(),
      saw: 'run',
      worker,
      attempt,
      task,
      team: teamOfWork(workOfTask(task)),
      request,
      demand,
      idempotent: this.idempotent.has(request),
    });
  }
}

function requestIn(payload: string): string {
  const parsed = attributedPayload.safeParse(JSON.parse(payload));
  return parsed.success ? parsed.data.request : '';
}
