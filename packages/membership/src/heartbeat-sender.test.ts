import test from 'ava';
import { brandAs, type DataCentreId, type Incarnation, type MemberId } from '@bamboowell/types/ids';
import { HeartbeatReceiver } from './heartbeat-receiver.js';
import { HeartbeatSender } from './heartbeat-sender.js';
import { FIRST_REPORT, type Beat, type Details } from './heartbeat.js';
import { connectionPair, memberOf, REGION } from './members.fixture.js';

function beatOf(sequence: number): Beat {
  const { logAnswers, version, cellUpTo } = FIRST_REPORT;
  return {
    ...{ logAnswers, version, cellUpTo, unresolvedClaims: [], owned: [] },
    ...{ member: memberOf('a'), incarnation: brandAs<Incarnation>('a-1'), sequence },
    ...{ echo: null, phase: 'serving', suspects: [] },
  };
}

function detailsOf(hears: readonly MemberId[]): Details {
  return { region: REGION, dataCentre: brandAs<DataCentreId>('d1'), hears, epochs: [] };
}

/** A sender and, once `listen` was called, a receiver, at the two ends of a connection. */
function ends() {
  const [near, far] = connectionPair([]);
  const sender = new HeartbeatSender(() => undefined);
  const receiver = new HeartbeatReceiver();
  const received: (number | undefined)[] = [];
  const details: unknown[] = [];
  const listen = () => {
    far.handle('details', (params) => {
      details.push(params);
      receiver.receiveDetails(far, params);
    });
    far.handle('heartbeat', (params) => {
      received.push(receiver.receive(far, params)?.sequence);
    });
  };
  const send = (sequence: number, hears: readonly MemberId[], echoed: number) => {
    sender.send(near, beatOf(sequence), detailsOf(hears), echoed);
  };
  return { listen, send, received, details };
}

test('details are sent until a beat that referred to them was echoed, and again when they change', (t) => {
  const { listen, send, received, details } = ends();
  listen();
  send(1, [], 0);
  send(2, [], 0);
  send(3, [], 1);
  send(4, [], 3);
  t.is(details.length, 2);
  send(5, [memberOf('b')], 4);
  send(6, [memberOf('b')], 5);
  t.is(details.length, 3);
  t.deepEqual(received, [1, 2, 3, 4, 5, 6]);
});

test('an end that set its handlers late still receives complete heartbeats', (t) => {
  const { listen, send, received } = ends();
  send(1, [], 0);
  listen();
  send(2, [], 0);
  t.deepEqual(received, [2]);
});
