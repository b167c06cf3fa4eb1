import test from 'ava';
import { EventLog } from '@bamboowell/logger/logger';
import { EventMetrics } from './event-metrics.js';
import { MetricsServer } from './metrics-server.js';

function metricsOver() {
  const names: string[] = [];
  const log = new (class extends EventLog {
    event(name: string): void {
      names.push(name);
    }
  })();
  return { metrics: new EventMetrics(log), names };
}

test('events are counted and logged, and their times are recorded by outcome', async (t) => {
  const { metrics, names } = metricsOver();
  const fields = { verb: 'submit', outcome: 'accepted', millis: 30, path: '/plans/1' };
  metrics.event('request.answered', fields);
  metrics.event('request.answered', { ...fields, millis: 700 });
  const text = await metrics.registry.metrics();
  t.deepEqual(names, ['request.answered', 'request.answered']);
  t.regex(text, /bamboowell_events_total\{event="request\.answered"\} 2/);
  t.regex(text, /request_seconds_bucket\{le="0\.05",verb="submit",outcome="accepted"\} 1/);
  t.regex(text, /request_seconds_count\{verb="submit",outcome="accepted"\} 2/);
});

test('appends are counted and timed but not logged', async (t) => {
  const { metrics, names } = metricsOver();
  metrics.event('append.done', { millis: 4 });
  t.deepEqual(names, []);
  t.regex(await metrics.registry.metrics(), /bamboowell_append_seconds_count 1/);
});

test("the owner's figures become gauges", async (t) => {
  const { metrics } = metricsOver();
  metrics.event('owner.figures', { waitingSteps: 3, term: 2 });
  t.regex(await metrics.registry.metrics(), /bamboowell_owner_waiting_steps 3/);
});

test('the errors of declared and learned run times become gauges, and copies are counted', async (t) => {
  const { metrics } = metricsOver();
  metrics.event('run_times.figures', { declaredErrorMillis: 700, learnedErrorMillis: 120 });
  metrics.event('run.copied', { task: '1.0.0.0', run: 1 });
  const text = await metrics.registry.metrics();
  t.regex(text, /bamboowell_run_times_declared_error_millis 700/);
  t.regex(text, /bamboowell_run_times_learned_error_millis 120/);
  t.regex(text, /bamboowell_events_total\{event="run\.copied"\} 1/);
});

test('the server serves the metrics of the registry', async (t) => {
  const { metrics } = metricsOver();
  metrics.event('member.started');
  const server = new MetricsServer(metrics.registry);
  const { port } = await server.open({ host: '127.0.0.1', port: 0 });
  t.teardown(() => {
    server.close();
  });
  const answer = await fetch(`http://127.0.0.1:${port}/metrics`);
  t.is(answer.status, 200);
  t.regex(await answer.text(), /member\.started/);
});
