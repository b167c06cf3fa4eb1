/** Says in sentences why work waits, with the numbers. */

import { isZero, shortDimensions, subtract, type Resources } from '@bamboowell/types/resources';
import { taskCountOf } from '@bamboowell/types/work';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';
import { hasEnded, type WorkEntry } from '@bamboowell/state/shard-fold';

export function explain(owner: ShardOwner, entry: WorkEntry): string[] {
  const { context } = owner.view();
  if (hasEnded(entry)) {
    return ['The work has ended; nothing of it waits.'];
  }
  const waiting = entry.tasks.filter((task) => task.state.kind === 'waiting').length;
  const sentences = [`${waiting} of ${taskCountOf(entry.work.shape)} tasks wait for a worker.`];
  if (context.ownedEpoch === undefined) {
    return [...sentences, 'This daemon does not own the shard and can tell no more.'];
  }
  if (waiting === 0) {
    return sentences;
  }
  return [
    ...sentences,
    ...authoritySentences(owner),
    ...limitSentences(owner, entry),
    ...fleetSentences(owner, entry),
  ];
}

function authoritySentences(owner: ShardOwner): string[] {
  const { context } = owner.view();
  if (!context.mayStart) {
    return [
      'The owner cannot show that it still owns the shard (the log does not answer), so it starts nothing.',
    ];
  }
  return context.mayUseHoldings
    ? []
    : ['The owner has not yet taken over the holdings of upper limits.'];
}

function limitSentences(owner: ShardOwner, entry: WorkEntry): string[] {
  const { context, limits, live } = owner.view();
  const { team, demand } = entry.work;
  const limit = context.cell?.configuration.teams.get(team)?.limit;
  if (limit === undefined) {
    return [`Team ${team} is not declared, so it may run nothing.`];
  }
  const room = limits.roomOf(team);
  const short = shortDimensions(demand, room);
  if (short.length === 0) {
    return [];
  }
  const holding = context.cell?.holdings.get(team);
  const held = holding === undefined ? 'nothing' : describe(holding.held);
  const total = holding === undefined ? 'nothing' : describe(holding.total);
  return [
    `Team ${team} is at its upper limit for ${short.join(', ')}: it may run ${describe(limit)}, ` +
      `all shards hold ${total} of that, this shard holds ${held} and runs ${describe(live.runningOf(team))}.`,
  ];
}

function fleetSentences(owner: ShardOwner, entry: WorkEntry): string[] {
  const { context } = owner.view();
  const { demand } = entry.work;
  const machines = [...context.fleet.all()];
  const usable = machines.filter((machine) => machine.usable);
  const fitting = usable.filter(
    (machine) => shortDimensions(demand, context.fleet.freeOf(machine)).length === 0,
  );
  const missing = usable.map((machine) => subtract(demand, context.fleet.freeOf(machine)));
  const example = missing[0];
  return [
    `A task asks for ${describe(demand)}; ${fitting.length} of ${usable.length} usable workers have room for one ` +
      `(${machines.length} workers are known).`,
    ...(fitting.length === 0 && example !== undefined
      ? ['It waits until running work ends or workers are added.']
      : []),
  ];
}

function describe(amount: Resources): string {
  if (isZero(amount)) {
    return 'nothing';
  }
  const { millicores, memoryMib, accelerators, slots } = amount;
  return `${millicores} millicores, ${memoryMib} MiB, ${accelerators} accelerators, ${slots} slots`;
}
