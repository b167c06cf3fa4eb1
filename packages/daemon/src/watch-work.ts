/** Yields the view of a work item after each change, until the work item has ended. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { shardOfWork, type WorkId } from '@bamboowell/types/ids';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { WorkView } from '@bamboowell/front/backend';
import type { Forwarder } from './forwarder.js';
import type { ShardsMessage, WorkChange } from './shard-messages.js';

export interface WatchParts {
  readonly shards: MailboxAddress<ShardsMessage>;
  readonly forwarder: Forwarder;
  readonly clock: Clock;
}

/** Polls after this long without a notification; shards of other regions send none. */
const POLL_INTERVAL_MILLIS = 2 * MILLIS_PER_SECOND;
const GET_TIMEOUT_MILLIS = 5 * MILLIS_PER_SECOND;

export async function* watchWork(
  parts: WatchParts,
  work: WorkId,
  signal: AbortSignal,
): AsyncIterable<Result<WorkView>> {
  const notifications = new ChangeNotifications(parts, work);
  notifications.subscribe();
  try {
    let lastYielded = '';
    while (!signal.aborted) {
      const view = await currentView(parts, work);
      const text = JSON.stringify(view);
      if (text !== lastYielded) {
        lastYielded = text;
        yield view;
      }
      if (view.kind === 'refused' || view.value.ended) {
        return;
      }
      await notifications.wait(signal);
    }
  } finally {
    notifications.unsubscribe();
  }
}

async function currentView(
  { forwarder, clock }: WatchParts,
  work: WorkId,
): Promise<Result<WorkView>> {
  const deadline = deadlineAfter(clock.now(), GET_TIMEOUT_MILLIS);
  return (await forwarder.forward(
    shardOfWork(work),
    { kind: 'get', work },
    deadline,
  )) as Result<WorkView>;
}

/** Subscribes to the local shard task's notifications that the work item has changed. */
class ChangeNotifications implements MailboxAddress<WorkChange> {
  private isPending = false;
  private wake: () => void = () => undefined;

  constructor(
    private readonly parts: WatchParts,
    private readonly work: WorkId,
  ) {}

  subscribe(): void {
    this.deliver('watch');
  }

  unsubscribe(): void {
    this.deliver('unwatch');
  }

  post(): 'accepted' {
    this.isPending = true;
    this.wake();
    return 'accepted';
  }

  async wait(signal: AbortSignal): Promise<void> {
    const { clock } = this.parts;
    if (!this.isPending) {
      await new Promise<void>((resolve) => {
        const alarm = clock.wakeAt(deadlineAfter(clock.now(), POLL_INTERVAL_MILLIS), resolve);
        this.wake = () => {
          alarm.cancel();
          resolve();
        };
        signal.addEventListener('abort', this.wake, { once: true });
      });
    }
    this.isPending = false;
    this.wake = () => undefined;
  }

  private deliver(kind: 'watch' | 'unwatch'): void {
    const message = { kind, work: this.work, watcher: this };
    this.parts.shards.post({
      kind: 'deliver',
      shard: shardOfWork(this.work),
      message,
      reply: () => undefined,
    });
  }
}
