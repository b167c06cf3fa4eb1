/**
 * Stand-in for the platform's metadata store: topics of one partition, kept in memory. It answers each
 * call at once, loses nothing and refuses nothing.
 */

import { createServer } from 'node:http';

/** Servers whose entry is not renewed for this long are removed: three reports of 1500 ms. */
const SILENCE_MILLIS = 4500;

class Topic {
  records = [];
  newest = new Map();
  producers = new Map();
  waiting = new Set();

  append(records) {
    for (const { key, value, raw } of records) {
      const offset = this.records.length;
      this.records.push({ key, value, raw, at: Date.now() });
      this.newest.delete(key);
      if (value.length > 0) {
        this.newest.set(key, { value, offset });
      }
    }
    if (records.length > 0) {
      [...this.waiting].forEach((wake) => wake());
    }
  }
}

function parseRecords(body, recordBytes) {
  const records = [];
  let at = 0;
  while (at + 4 <= body.length) {
    const length = body.readUInt32BE(at);
    if (length > recordBytes || at + 4 + length > body.length) {
      return undefined;
    }
    const content = body.subarray(at + 4, at + 4 + length);
    const keyLength = content.length === 0 ? 0 : content[0];
    records.push({
      key: content.toString('utf8', 1, 1 + keyLength),
      value: content.subarray(1 + keyLength),
      raw: body.subarray(at, at + 4 + length),
    });
    at += 4 + length;
  }
  return at === body.length ? records : undefined;
}

export class Store {
  topics = new Map();
  recordBytes = 262_144;
  callBytes = 2_097_152;
  /** Appends that were refused because of their size. */
  refusedAppends = 0;

  async open(host, port) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.serve(request, response, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 75_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.sweep = setInterval(() => this.removeSilent(), 500);
  }

  close() {
    clearInterval(this.sweep);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, new Topic());
    }
    return this.topics.get(name);
  }

  /** Writes a record as the operator or a worker does. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value === undefined ? '' : JSON.stringify(value));
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]);
    const head = Buffer.alloc(4);
    head.writeUInt32BE(content.length);
    const raw = Buffer.concat([head, content]);
    this.topic(topic).append([{ key, value: valueBytes, raw }]);
  }

  removeSilent() {
    const topic = this.topic('keyed.servers');
    for (const [key, { offset }] of topic.newest) {
      if (topic.records[offset].at + SILENCE_MILLIS < Date.now()) {
        this.put('keyed.servers', key, undefined);
      }
    }
  }

  serve(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const call = `${request.method} ${url.pathname}`;
    if (call === 'POST /api/log-append') {
      this.append(query, body, response);
    } else if (call === 'GET /api/log-newest') {
      this.readNewest(query, response);
    } else if (call === 'GET /api/log-read') {
      this.read(query, response);
    } else if (call === 'POST /worker') {
      // The way of the stand-in workers to this store.
      const { key, value } = JSON.parse(body.toString());
      this.put('keyed.servers', key, value);
      json(response, 200, {});
    } else {
      json(response, 404, {});
    }
  }

  append(query, body, response) {
    const name = query.get('topic');
    if (name === 'keyed.op' || name === 'keyed.servers') {
      json(response, 403, {});
      return;
    }
    const topic = this.topic(name);
    const records = body.length > this.callBytes ? undefined : parseRecords(body, this.recordBytes);
    if (records === undefined) {
      this.refusedAppends += 1;
      json(response, 400, { reason: 'size' });
      return;
    }
    if (query.has('at') && Number(query.get('at')) !== topic.records.length) {
      json(response, 412, { end: topic.records.length });
      return;
    }
    const producer = query.get('producer');
    if (producer === null) {
      json(response, 200, this.take(topic, records));
      return;
    }
    const epoch = Number(query.get('epoch'));
    const seq = Number(query.get('seq'));
    const known = topic.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) {
      json(response, 409, { reason: 'fenced' });
      return;
    }
    if (known === undefined || epoch > known.epoch) {
      const answer = this.take(topic, records);
      topic.producers.set(producer, { epoch, seq, answers: [[seq, answer]] });
      json(response, 200, answer);
      return;
    }
    const repeated = known.answers.find(([each]) => each === seq);
    if (repeated !== undefined) {
      json(response, 200, repeated[1]);
      return;
    }
    if (seq !== known.seq + 1) {
      json(response, 409, { reason: 'seq', seq: known.seq + 1 });
      return;
    }
    const answer = this.take(topic, records);
    known.seq = seq;
    known.answers.push([seq, answer]);
    known.answers.splice(0, known.answers.length - 5);
    json(response, 200, answer);
  }

  take(topic, records) {
    const offset = topic.records.length;
    topic.append(records);
    return { offset, end: topic.records.length };
  }

  readNewest(query, response) {
    const topic = this.topic(query.get('topic'));
    const after = query.get('after');
    const keys = [...topic.newest.keys()].sort();
    const from = after === null ? 0 : keys.findIndex((key) => key > after);
    const items = [];
    let bytes = 0;
    let more = false;
    for (const key of from < 0 ? [] : keys.slice(from)) {
      const { value, offset } = topic.newest.get(key);
      if (items.length === 500 || bytes > 1_000_000) {
        more = true;
        break;
      }
      items.push({ key, value: value.toString('base64'), offset });
      bytes += value.length;
    }
    json(response, 200, { items, more, end: topic.records.length });
  }

  read(query, response) {
    const topic = this.topic(query.get('topic'));
    const from = Number(query.get('from'));
    const until = Date.now() + Number(query.get('waitMs') ?? 0);
    const answer = () => {
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = topic.records.slice(from, from + 2000).map(({ raw }) => raw);
      response.writeHead(200).end(Buffer.concat([head, ...parts]));
    };
    if (topic.records.length > from || Date.now() >= until) {
      answer();
      return;
    }
    const wake = () => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      answer();
    };
    const timer = setTimeout(wake, until - Date.now());
    topic.waiting.add(wake);
    response.once('close', () => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
    });
  }
}

export function json(response, status, body) {
  const text = JSON.stringify(body);
  response
    .writeHead(status, { 'content-type': 'application/json', 'content-length': text.length })
    .end(text);
}
