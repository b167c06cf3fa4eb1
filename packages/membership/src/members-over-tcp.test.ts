import test, { type ExecutionContext } from 'ava';
import { SystemClock } from '@bamboowell/kernel/clock';
import { brandAs, type DataCentreId, type Incarnation } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address, Vm } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import type { Connection } from '@bamboowell/wire/connection';
import { Listener } from '@bamboowell/wire/listener';
import { Dialler } from './dialler.js';
import type { MembersEvent, MembersMessage } from './members-messages.js';
import { MembersTask } from './members-task.js';
import { FixedVmList, memberOf, REGION, reportOf } from './members.fixture.js';
import { statementOf } from './ownership-inputs.js';

const clock = new SystemClock();
const DATA_CENTRE = brandAs<DataCentreId>('d1');

class TcpDialler extends Dialler {
  async dial(address: Address, deadline: Deadline): Promise<Connection | undefined> {
    const connection = await connect({ address, clock, deadline });
    return 'kind' in connection ? undefined : connection;
  }
}

/**
 * Starts a member with a listener of its own. `stated` resolves to the sender of the first
 * heartbeat whose echo tells after which instant its report was made.
 */
async function memberOverTcp(t: ExecutionContext, name: string, list: FixedVmList) {
  let resolveStated: (value: string) => void = () => undefined;
  const stated = new Promise<string>((resolve) => {
    resolveStated = resolve;
  });
  const recordEvent = (event: MembersEvent) => {
    if (event.kind === 'heard' && statementOf(event.view) !== undefined) {
      resolveStated(event.view.member);
    }
    return 'accepted' as const;
  };
  const task = new MembersTask(settingsOf(name, list, recordEvent), clock);
  const listener = new Listener({
    host: '127.0.0.1',
    port: 0,
    clock,
    accept: (connection) => {
      task.post({ kind: 'accepted', connection });
    },
  });
  const address = await listener.listen();
  t.teardown(async () => {
    await task.stop();
    await listener.close(deadlineAfter(clock.now(), 1000));
  });
  return { task, address, stated };
}

function settingsOf(
  name: string,
  vmList: FixedVmList,
  post: (event: MembersEvent) => 'accepted',
): ConstructorParameters<typeof MembersTask>[0] {
  return {
    member: memberOf(name),
    incarnation: brandAs<Incarnation>(`${name}-1`),
    region: REGION,
    dataCentre: DATA_CENTRE,
    vmList,
    dialler: new TcpDialler(),
    random: () => 0.5,
    count: () => undefined,
    subscribers: [{ post }],
    handlers: new Map([['whoami', () => name]]),
  };
}

function vmOf(name: string, address: Address): Vm {
  const place = { region: REGION, dataCentre: DATA_CENTRE, address };
  return { role: 'entry', member: memberOf(name), state: 'live', ...place };
}

function ask(task: MembersTask, name: string) {
  const deadline = deadlineAfter(clock.now(), 5000);
  return new Promise((reply) => {
    const message: MembersMessage = {
      kind: 'request',
      member: memberOf(name),
      method: 'whoami',
      params: null,
      deadline,
      reply,
    };
    task.post(message);
  });
}

test("two members over TCP can date each other's heartbeats, and each answers requests of the other", async (t) => {
  const list = new FixedVmList();
  const a = await memberOverTcp(t, 'a', list);
  const b = await memberOverTcp(t, 'b', list);
  list.listing = { kind: 'listed', vms: [vmOf('a', a.address), vmOf('b', b.address)] };
  for (const { task } of [a, b]) {
    await task.start();
    const report = setInterval(() => {
      task.post({ kind: 'report', report: reportOf(), at: clock.now() });
    }, 200);
    t.teardown(() => {
      clearInterval(report);
    });
  }
  t.deepEqual(await Promise.all([a.stated, b.stated]), ['b', 'a']);
  t.deepEqual(await ask(a.task, 'b'), { kind: 'answered', value: 'b' });
  t.deepEqual(await ask(b.task, 'a'), { kind: 'answered', value: 'a' });
});
