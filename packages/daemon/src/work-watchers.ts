/** The subscribers to notifications of changed work items. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { WorkId } from '@bamboowell/types/ids';
import type { WorkChange } from './shard-messages.js';

export class WorkWatchers {
  private readonly byWork = new Map<WorkId, Set<MailboxAddress<WorkChange>>>();

  add(work: WorkId, watcher: MailboxAddress<WorkChange>): void {
    const watchers = this.byWork.get(work) ?? new Set<MailboxAddress<WorkChange>>();
    this.byWork.set(work, watchers.add(watcher));
  }

  remove(work: WorkId, watcher: MailboxAddress<WorkChange>): void {
    const watchers = this.byWork.get(work);
    watchers?.delete(watcher);
    if (watchers?.size === 0) {
      this.byWork.delete(work);
    }
  }

  notify(work: WorkId): void {
    for (const watcher of this.byWork.get(work) ?? []) {
      watcher.post({ work });
    }
  }
}
