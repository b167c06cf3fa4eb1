/** A store that records its lowest latency. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Offset } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { Store, type AppendCondition, type StoreWrite, type Topic } from './store.js';

export class MeasuredStore extends Store {
  /** Lowest latency of `newest`, which never long-polls; undefined before the first answer. */
  lowestLatencyMillis: number | undefined;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {
    super();
  }

  append(
    topic: Topic,
    writes: readonly StoreWrite[],
    condition: AppendCondition,
    deadline: Deadline,
  ) {
    return this.store.append(topic, writes, condition, deadline);
  }

  async newest(topic: Topic, after: string | undefined, deadline: Deadline) {
    const askedAt = this.clock.now();
    const page = await this.store.newest(topic, after, deadline);
    if (page.kind === 'page') {
      const millis = this.clock.now() - askedAt;
      this.lowestLatencyMillis = Math.min(this.lowestLatencyMillis ?? millis, millis);
    }
    return page;
  }

  override probe(deadline: Deadline) {
    return this.store.probe(deadline);
  }

  read(topic: Topic, from: Offset, waitMillis: number, deadline: Deadline) {
    return this.store.read(topic, from, waitMillis, deadline);
  }
}
