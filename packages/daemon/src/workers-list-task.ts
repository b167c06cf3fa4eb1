/** The task that polls the VM list and sends the listed workers to the shards. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { VmList, VmListing } from '@bamboowell/membership/vm-list';
import { deadlineAfter } from '@bamboowell/types/time';
import type { ShardsMessage } from './shard-messages.js';

export type WorkersListMessage =
  { readonly kind: 'refresh' } | { readonly kind: 'listed'; readonly listing: VmListing };

export class WorkersListTask extends Task<WorkersListMessage> {
  private lastSent = '';

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
      this.handleListing(message.listing);
    }
  }

  private refresh(): void {
    const next = deadlineAfter(this.clock.now(), this.refreshMillis);
    this.postAt(next, { kind: 'refresh' });
    void this.list.list(next).then((listing) => {
      this.post({ kind: 'listed', listing });
    });
  }

  /** While the VM list is unavailable, the workers that were listed last are kept. */
  private handleListing(listing: VmListing): void {
    if (listing.kind === 'unavailable') {
      return;
    }
    const vms = listing.vms.filter((vm) => vm.role === 'worker');
    const text = JSON.stringify(vms);
    if (text !== this.lastSent) {
      this.lastSent = text;
      this.shards.post({ kind: 'workers_listed', vms });
    }
  }
}
