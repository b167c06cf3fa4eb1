/** Counts events before they are logged, and records the times that they carry in histograms. */

// Imported directly: prom-client's root also loads the runtime's cluster and HTTPS modules.
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import MetricsRegistry from 'prom-client/lib/registry.js';
import type { Registry } from 'prom-client';
import { EventLog } from '@bamboowell/logger/logger';
import type { Fields } from '@bamboowell/logger/line';

const MILLIS_PER_SECOND = 1000;

/** Upper bounds of the buckets: from a store's answer to a caller's longest wait and a long job. */
const BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** Events with a histogram: the field with the milliseconds, and the fields that become labels. */
const TIMED_EVENTS = {
  'request.answered': { field: 'millis', name: 'request_seconds', labels: ['verb', 'outcome'] },
  'advice.taken': { field: 'tookMillis', name: 'advice_seconds', labels: [] },
  'append.done': { field: 'millis', name: 'append_seconds', labels: [] },
  'job.ended': { field: 'afterMillis', name: 'job_seconds', labels: ['state'] },
} as const;

/** Events whose numeric fields become gauges, and the prefix of the gauges' names. */
const GAUGE_EVENTS: ReadonlyMap<string, string> = new Map([
  ['owner.figures', 'owner'],
  ['admission.figures', 'admission'],
  ['member.figures', 'member'],
  ['run_times.figures', 'run_times'],
]);
const PREFIX = 'bamboowell_';

/** Events that are counted but not logged, because they are too frequent. */
const COUNTED_ONLY: ReadonlySet<string> = new Set(['append.done']);

export class EventMetrics extends EventLog {
  readonly registry: Registry = new MetricsRegistry();
  private readonly events = new Counter({
    name: `${PREFIX}events_total`,
    help: 'Events of the log, by name.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly histograms = new Map<string, Histogram>();
  private readonly gauges = new Map<string, Gauge>();

  constructor(private readonly log: EventLog) {
    super();
    for (const [event, { name, labels }] of Object.entries(TIMED_EVENTS)) {
      const histogram = new Histogram({
        name: `${PREFIX}${name}`,
        help: `Seconds, from the event ${event}.`,
        labelNames: [...labels],
        buckets: BUCKETS_SECONDS,
        registers: [this.registry],
      });
      this.histograms.set(event, histogram);
    }
  }

  event(name: string, fields: Fields = {}): void {
    this.events.inc({ event: name });
    this.observe(name, fields);
    const prefix = GAUGE_EVENTS.get(name);
    if (prefix !== undefined) {
      this.setGauges(prefix, name, fields);
    }
    if (!COUNTED_ONLY.has(name)) {
      this.log.event(name, fields);
    }
  }

  private observe(name: string, fields: Fields): void {
    if (!(name in TIMED_EVENTS)) {
      return;
    }
    const { field, labels } = TIMED_EVENTS[name as keyof typeof TIMED_EVENTS];
    const millis = fields[field];
    if (typeof millis === 'number') {
      const values = labels.map((label) => [label, String(fields[label] ?? '')] as const);
      this.histograms.get(name)?.observe(Object.fromEntries(values), millis / MILLIS_PER_SECOND);
    }
  }

  private setGauges(prefix: string, event: string, fields: Fields): void {
    for (const [name, value] of Object.entries(fields)) {
      if (typeof value === 'number') {
        this.gaugeOf(prefix, event, name).set(value);
      }
    }
  }

  private gaugeOf(prefix: string, event: string, field: string): Gauge {
    const name = `${PREFIX}${prefix}_${field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}`;
    const existing = this.gauges.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const help = `From the event ${event}.`;
    const gauge = new Gauge({ name, help, registers: [this.registry] });
    this.gauges.set(name, gauge);
    return gauge;
  }
}
