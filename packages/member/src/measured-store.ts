/** A store that remembers how fast it can answer. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Offset } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { Store, type AppendCondition, type StoreWrite, type Topic } from './store.js';

export class MeasuredStore extends Store {
  /** The fastest answer to a call that doesn't wait; absent before the first. */
  fastestMillis: number | undefined;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {
    super();
  }

  append(topic: Topic, writes: readonly StoreWrite[], condition: AppendCondition, limit: Deadline) {
    return this.store.append(topic, writes, condition, limit);
  }

  async newest(topic: Topic, after: string | undefined, limit: Deadline) {
    const askedAt = this.clock.now();
    const page = await this.store.newest(topic, after, limit);
    if (page.kind === 'page') {
      const millis = this.clock.now() - askedAt;
      this.fastestMillis = Math.min(this.fastestMillis ?? millis, millis);
    }
    return page;
  }

  read(topic: Topic, from: Offset, waitMillis: number, limit: Deadline) {
    return this.store.read(topic, from, waitMillis, limit);
  }
}
