/** The platform's store in memory, as PROTOCOL.md describes it; each topic has one partition. */

import { createServer } from 'node:http';

const APPEND_MS = 2;
const MAX_CALL_BYTES = 2_097_152;
const MAX_RECORD_BYTES = 262_144;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const READ_RECORDS = 2000;
const REMEMBERED = 5;
const OPERATORS = new Set(['keyed.op', 'keyed.servers']);

function decode(bytes) {
  const records = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    const body = bytes.subarray(at + 4, at + 4 + length);
    const keyEnd = 1 + body.readUInt8(0);
    records.push({ key: body.toString('utf8', 1, keyEnd), value: body.subarray(keyEnd) });
    at += 4 + length;
  }
  return records;
}

function encode({ key, value }) {
  const name = Buffer.from(key, 'utf8');
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, 4);
  return Buffer.concat([head, name, value]);
}

class Topic {
  records = [];
  newest = new Map();
  producers = new Map();
  readers = new Set();
  busyUntil = 0;

  append(records) {
    const offset = this.records.length;
    for (const record of records) {
      this.newest.delete(record.key);
      if (record.value.length > 0) {
        this.newest.set(record.key, { ...record, offset: this.records.length });
      }
      this.records.push(record);
    }
    if (records.length > 0) {
      [...this.readers].forEach((wake) => wake());
    }
    return [200, { offset, end: this.records.length }];
  }

  /** One append at a time, in the order in which they came. */
  inTurn(append) {
    const now = performance.now();
    this.busyUntil = Math.max(this.busyUntil, now) + APPEND_MS;
    setTimeout(append, this.busyUntil - now);
  }
}

export class Store {
  topics = new Map();
  server;

  async open(host, port) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.serve(request, Buffer.concat(chunks), response));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Writes a document as the operator or a worker does. */
  put(topic, key, document) {
    const value = document === undefined ? '' : JSON.stringify(document);
    this.topic(topic).append([{ key, value: Buffer.from(value) }]);
  }

  topic(name) {
    const topic = this.topics.get(name) ?? new Topic();
    this.topics.set(name, topic);
    return topic;
  }

  serve(request, body, response) {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    const answer = ([status, fields]) => {
      const text = JSON.stringify(fields);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const name = query.get('topic') ?? '';
    switch (`${request.method} ${pathname}`) {
      case 'POST /api/log-append':
        this.topic(name).inTurn(() => answer(this.append(name, query, body)));
        break;
      case 'GET /api/log-newest':
        answer([200, this.page(name, query.get('after') ?? '')]);
        break;
      case 'GET /api/log-read':
        this.read(this.topic(name), query, response);
        break;
      default:
        answer([404, {}]);
    }
  }

  append(name, query, body) {
    if (OPERATORS.has(name)) {
      return [403, {}];
    }
    const records = decode(body);
    if (
      body.length > MAX_CALL_BYTES ||
      records.some(({ key, value }) => 1 + key.length + value.length > MAX_RECORD_BYTES)
    ) {
      return [413, {}];
    }
    const topic = this.topic(name);
    const at = query.get('at');
    if (at !== null && Number(at) !== topic.records.length) {
      return [412, { end: topic.records.length }];
    }
    const producer = query.get('producer');
    return producer === null ? topic.append(records) : inSequence(topic, producer, query, records);
  }

  page(name, after) {
    const { newest, records } = this.topic(name);
    const keys = [...newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, offset } = newest.get(key);
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + value.length > PAGE_BYTES)) {
        break;
      }
      bytes += value.length;
      items.push({ key, value: value.toString('base64'), offset });
    }
    return { items, more: items.length < keys.length, end: records.length };
  }

  read(topic, query, response) {
    const from = Number(query.get('from'));
    const answer = () => {
      clearTimeout(timer);
      topic.readers.delete(answer);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const part = topic.records.slice(from, from + READ_RECORDS).map(encode);
      response.writeHead(200).end(Buffer.concat([head, ...part]));
    };
    const timer = setTimeout(answer, Number(query.get('waitMs') ?? 0));
    if (topic.records.length > from) {
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

function inSequence(topic, id, query, records) {
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
  const answers = [...producer.answers, { seq, answer }].slice(-REMEMBERED);
  topic.producers.set(id, { epoch, seq, answers });
  return answer;
}
