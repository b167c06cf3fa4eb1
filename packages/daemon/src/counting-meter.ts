/** Counts the traffic of connections as metrics. */

import type { Counters, Tags } from '@bamboowell/metrics/counters';
import type { CounterName } from '@bamboowell/metrics/names';
import { Meter } from '@bamboowell/wire/meter';

/** What is at the other end of the connections. */
export type LinkKind = 'peer' | 'worker';

/** Maps names that a meter counts to a counter with tags. */
interface Rule {
  readonly pattern: RegExp;
  readonly counter: CounterName;
  /** The tags that the pattern's groups become, in order. */
  readonly tags: readonly string[];
}

/** The first rule whose pattern matches applies. */
const RULES: readonly Rule[] = [
  { pattern: /^wire\.bytes_(in|out)$/, counter: 'wire.bytes', tags: ['direction'] },
  {
    pattern: /^wire\.messages_(in|out)\.(.+)$/,
    counter: 'wire.messages',
    tags: ['direction', 'kind'],
  },
  {
    pattern: /^wire\.message_bytes_(in|out)\.(.+)$/,
    counter: 'wire.message_bytes',
    tags: ['direction', 'kind'],
  },
  { pattern: /^wire\.not_sent\.([^.]+)\.(.+)$/, counter: 'wire.not_sent', tags: ['why', 'kind'] },
  { pattern: /^wire\.(.+)$/, counter: 'wire.events', tags: ['event'] },
  { pattern: /^worker\.(.+)$/, counter: 'worker.events', tags: ['event'] },
];

export class CountingMeter extends Meter {
  /** There are few names, and some come with every message, so each is parsed only once. */
  private readonly cache = new Map<string, { counter: CounterName; tags: Tags } | undefined>();

  constructor(
    private readonly link: LinkKind,
    private readonly counters: Counters,
  ) {
    super();
  }

  count(name: string, by: number): void {
    if (!this.cache.has(name)) {
      this.cache.set(name, this.parse(name));
    }
    const counted = this.cache.get(name);
    if (counted !== undefined) {
      this.counters.increment(counted.counter, counted.tags, by);
    }
  }

  private parse(name: string): { counter: CounterName; tags: Tags } | undefined {
    const rule = RULES.find(({ pattern }) => pattern.test(name));
    if (rule === undefined) {
      return undefined;
    }
    const values = rule.pattern.exec(name)?.slice(1) ?? [];
    const tags: Record<string, string> = { link: this.link };
    rule.tags.forEach((tag, index) => {
      tags[tag] = values[index] ?? '';
    });
    return { counter: rule.counter, tags };
  }
}
