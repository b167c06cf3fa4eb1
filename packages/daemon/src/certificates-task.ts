/** The task that reloads changed certificates without a restart of the daemon. */

import { watch, type FSWatcher } from 'node:fs';
import { dirname } from 'node:path';
import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import type { Counters } from '@bamboowell/metrics/counters';
import { deadlineAfter } from '@bamboowell/types/time';

/** Delay from the first change to the reload, so that files that change together are read once. */
const RELOAD_DELAY_MILLIS = 200;

/** Certificates that are reloaded together. Subclasses differ in where they are used. */
export abstract class CertificateSet {
  /** Path of the setting that names the files. */
  abstract readonly setting: string;
  abstract readonly files: readonly string[];

  /**
   * Reads the files and, if they have changed, uses them for new connections. If they can't be
   * used, rejects with an UnusableFileError and keeps the previous ones in use.
   */
  abstract reload(): Promise<'unchanged' | 'replaced'>;
}

export type CertificatesMessage =
  /** Reads all files again. */
  | { readonly kind: 'reload' }
  /** Something changed in a directory that contains watched files. */
  | { readonly kind: 'changed' };

export interface CertificatesParts {
  readonly sets: readonly CertificateSet[];
  readonly events: EventLog;
  readonly counters: Counters;
}

export class CertificatesTask extends Task<CertificatesMessage> {
  private watchers: readonly FSWatcher[] = [];
  private isReloadDue = false;

  constructor(
    private readonly parts: CertificatesParts,
    clock: Clock,
  ) {
    super('certificates', clock);
  }

  /** Watches directories, because files are replaced by renaming a new file over them. */
  protected override onStart(): void {
    const files = this.parts.sets.flatMap((set) => set.files);
    const directories = new Set(files.map((file) => dirname(file)));
    this.watchers = [...directories].map((directory) => this.watch(directory));
    this.post({ kind: 'reload' });
  }

  protected override onStop(): void {
    for (const watcher of this.watchers) {
      watcher.close();
    }
  }

  protected async receive(message: CertificatesMessage): Promise<void> {
    await match(message)
      .with({ kind: 'changed' }, () => {
        this.scheduleReload();
      })
      .with({ kind: 'reload' }, () => this.reload())
      .exhaustive();
  }

  private watch(directory: string): FSWatcher {
    const watcher = watch(directory, { persistent: false }, () => {
      this.post({ kind: 'changed' });
    });
    return watcher.on('error', (error) => {
      this.parts.events.event('certificates.unwatched', { directory, error: error.message });
    });
  }

  private scheduleReload(): void {
    if (!this.isReloadDue) {
      this.isReloadDue = true;
      this.postAt(deadlineAfter(this.clock.now(), RELOAD_DELAY_MILLIS), { kind: 'reload' });
    }
  }

  private async reload(): Promise<void> {
    this.isReloadDue = false;
    for (const set of this.parts.sets) {
      await this.reloadSet(set);
    }
  }

  private async reloadSet(set: CertificateSet): Promise<void> {
    const { events, counters } = this.parts;
    try {
      if ((await set.reload()) === 'replaced') {
        events.event('certificates.replaced', { setting: set.setting });
        counters.increment('certificates.replaced');
      }
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      events.event('certificates.refused', { setting: set.setting, error: text });
      counters.increment('certificates.refused');
    }
  }
}
