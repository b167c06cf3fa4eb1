/** Counts the traffic of connections as metrics. */

import type { Counters, Tags } from '@bamboowell/metrics/counters';
import type { CounterName } from '@bamboowell/metrics/names';
import { Meter } from '@bamboowell/wire/meter';

/** Whom the connections lead to. */
export type LinkKind = 'peer' | 'worker';

/** Turns a name of a meter into a counter with tags. */
interface Rule {
  readonly pattern: RegExp;
  readonly counter: CounterName;
  /** Names of the pattern's groups, in their order. */
  readonly tags: readonly string[];
}

/** The first rule whose pattern matches counts. */
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
  /** Names are few and come with every message, so that each is taken apart once. */
  private readonly known = new Map<string, { counter: CounterName; tags: Tags } | undefined>();

  constructor(
    private readonly link: LinkKind,
    private readonly counters: Counters,
  ) {
    super();
  }

  count(name: string, by: number): void {
    if (!this.known.has(name)) {
      this.known.set(name, this.countedAs(name));
    }
    const counted = this.known.get(name);
    if (counted !== undefined) {
      this.counters.increment(counted.counter, counted.tags, by);
    }
  }

  private countedAs(name: string): { counter: CounterName; tags: Tags } | undefined {
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
