/** The platform's store, in memory; each topic has one partition. */

import { createServer } from 'node:http';

const APPEND_MILLIS = 2;
const MAX_CALL_BYTES = 2_097_152;
const MAX_RECORD_BYTES = 262_144;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_PART_RECORDS = 2000;
const REMEMBERED_ANSWERS = 5;
const HEARTBEATS_TO_SILENCE = 3;
const WRITTEN_BY_OTHERS = new Set(['keyed.op', 'keyed.servers']);

function decode(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const record = body.subarray(at + 4, at + 4 + length);
    const keyLength = record[0];
    const key = record.subarray(1, 1 + keyLength).toString();
    const value = record.subarray(1 + keyLength);
    records.push({
      key,
      value: value.length === 0 ? undefined : Buffer.from(value),
      raw: record.length,
    });
    at += 4 + length;
  }
  return records;
}

function encode({ key, value = Buffer.alloc(0) }) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length);
  head[4] = name.length;
  return Buffer.concat([head, name, value]);
}

class Topic {
  records = [];
  newest = new Map();
  producers = new Map();
  readers = new Set();
  busyUntil = 0;

  get end() {
    return this.records.length;
  }

  append(records) {
    const offset = this.end;
    for (const record of records) {
      this.newest.delete(record.key);
      if (record.value !== undefined) {
        this.newest.set(record.key, { value: record.value, offset: this.end });
      }
      this.records.push(record);
    }
    if (records.length > 0) {
      [...this.readers].forEach((wake) => wake());
    }
    return [200, { offset, end: this.end }];
  }

  inTurn(append) {
    const now = performance.now();
    this.busyUntil = Math.max(this.busyUntil, now) + APPEND_MILLIS;
    setTimeout(append, this.busyUntil - now);
  }
}

export class Store {
  /** Delays, drops or refuses a call if it returns something: see `serve`. */
  disturb = () => undefined;
  topics = new Map();
  heardAt = new Map();

  constructor({ heartbeatMs = 1500 } = {}) {
    this.silence = HEARTBEATS_TO_SILENCE * heartbeatMs;
    this.server = createServer((call, response) => this.receive(call, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async open(host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.sweep = setInterval(() => this.removeSilent(), 500);
  }

  close() {
    clearInterval(this.sweep);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a document as the operator does. */
  put(topic, key, document) {
    this.topic(topic).append([{ key, value: Buffer.from(JSON.stringify(document)) }]);
  }

  /** The newest document of a key. */
  document(topic, key) {
    const found = this.topic(topic).newest.get(key);
    return found === undefined ? undefined : JSON.parse(found.value.toString());
  }

  topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, new Topic());
    }
    return this.topics.get(name);
  }

  removeSilent() {
    for (const [worker, at] of this.heardAt) {
      if (at + this.silence < performance.now()) {
        this.heardAt.delete(worker);
        this.topic('keyed.servers').append([{ key: worker, value: undefined }]);
      }
    }
  }

  receive(call, response) {
    const chunks = [];
    call.on('data', (chunk) => chunks.push(chunk));
    call.on('end', () => {
      const { pathname, searchParams: query } = new URL(call.url, 'http://store');
      this.serve({ call, path: pathname, query, body: Buffer.concat(chunks) }, response);
    });
  }

  serve(request, response) {
    const { path, query, body } = request;
    const send = ([status, fields]) => {
      const text = JSON.stringify(fields);
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      };
      response.writeHead(status, headers).end(text);
    };
    if (path === '/stand-in/report') {
      const worker = query.get('worker');
      this.heardAt.set(worker, performance.now());
      this.topic('keyed.servers').append([{ key: worker, value: body }]);
      send([200, {}]);
      return;
    }
    const trouble = this.disturb(request);
    if (trouble === 'silent') {
      return;
    }
    if (trouble === 'busy') {
      send([503, {}]);
      return;
    }
    const name = query.get('topic') ?? '';
    if (path === '/api/log-append') {
      this.topic(name).inTurn(() => {
        const answer = this.append(name, query, body);
        if (trouble !== 'unanswered') {
          send(answer);
        }
      });
    } else if (path === '/api/log-newest') {
      send([200, this.page(name, query)]);
    } else if (path === '/api/log-read') {
      this.read(name, query, response);
    } else {
      send([404, {}]);
    }
  }

  append(name, query, body) {
    if (WRITTEN_BY_OTHERS.has(name)) {
      return [403, {}];
    }
    const records = decode(body);
    if (body.length > MAX_CALL_BYTES || records.some(({ raw }) => raw > MAX_RECORD_BYTES)) {
      return [413, {}];
    }
    const topic = this.topic(name);
    const at = query.get('at');
    if (at !== null && Number(at) !== topic.end) {
      return [412, { end: topic.end }];
    }
    const id = query.get('producer');
    if (id === null) {
      return topic.append(records);
    }
    const epoch = Number(query.get('epoch'));
    const seq = Number(query.get('seq'));
    const known = topic.producers.get(id);
    if (known !== undefined && epoch < known.epoch) {
      return [409, { reason: 'fenced' }];
    }
    const producer = known?.epoch === epoch ? known : { epoch, seq: seq - 1, answers: [] };
    const repeated = producer.answers.find((each) => each.seq === seq);
    if (repeated !== undefined) {
      return repeated.answer;
    }
    if (seq !== producer.seq + 1) {
      return [409, { reason: 'seq', seq: producer.seq + 1 }];
    }
    const answer = topic.append(records);
    const answers = [...producer.answers, { seq, answer }].slice(-REMEMBERED_ANSWERS);
    topic.producers.set(id, { epoch, seq, answers });
    return answer;
  }

  page(name, query) {
    const topic = this.topic(name);
    const after = query.get('after') ?? '';
    const keys = [...topic.newest.keys()].sort().filter((key) => key > after);
    const items = [];
    let bytes = 0;
    for (const key of keys.slice(0, MAX_PAGE_ITEMS)) {
      const { value, offset } = topic.newest.get(key);
      bytes += value.length;
      if (items.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      items.push({ key, value: value.toString('base64'), offset });
    }
    return { items, more: keys.length > items.length, end: topic.end };
  }

  read(name, query, response) {
    const topic = this.topic(name);
    const from = Number(query.get('from'));
    const answer = () => {
      clearTimeout(timer);
      topic.readers.delete(answer);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.end), 0);
      const records = topic.records.slice(from, from + MAX_PART_RECORDS).map(encode);
      const body = Buffer.concat([head, ...records]);
      response.writeHead(200, { 'content-length': body.length }).end(body);
    };
    const timer = setTimeout(answer, Number(query.get('waitMs') ?? 0));
    if (topic.end > from) {
      answer();
      return;
    }
    topic.readers.add(answer);
    response.once('close', () => {
      clearTimeout(timer);
      topic.readers.delete(answer);
    });
  }
}
