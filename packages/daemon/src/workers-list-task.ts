/** The task that reads the VM list for workers and tells the shards. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { VmList, VmListing } from '@bamboowell/membership/vm-list';
import { deadlineAfter } from '@bamboowell/types/time';
import type { ShardsMessage } from './shard-messages.js';

export type WorkersListMessage =
  { readonly kind: 'refresh' } | { readonly kind: 'listed'; readonly listing: VmListing };

export class WorkersListTask extends Task<WorkersListMessage> {
  private last = '';

  constructor(
    private readonly list: VmList,
    private readonly refreshMillis: number,
    private readonly shards: MailboxAddress<ShardsMessage>,
    clock: Clock,
  ) {
    super('workers list', clock);
  }

  protected override onStart(): void {
    this.post({ kind: 'refresh' });
  }

  protected receive(message: WorkersListMessage): void {
    if (message.kind === 'refresh') {
      this.refresh();
    } else {
      this.listed(message.listing);
    }
  }

  private refresh(): void {
    const next = deadlineAfter(this.clock.now(), this.refreshMillis);
    this.postAt(next, { kind: 'refresh' });
    void this.list.list(next).then((listing) => {
      this.post({ kind: 'listed', listing });
    });
  }

  /** An outage of the list changes nothing; what was listed last stays. */
  private listed(listing: VmListing): void {
    if (listing.kind === 'unavailable') {
      return;
    }
    const vms = listing.vms.filter((vm) => vm.role === 'worker');
    const text = JSON.stringify(vms);
    if (text !== this.last) {
      this.last = text;
      this.shards.post({ kind: 'workers_listed', vms });
    }
  }
}
