/** Explains in sentences, with numbers, why a work item is waiting. */

import { isZero, shortDimensions, subtract, type Resources } from '@bamboowell/types/resources';
import { taskCountOf } from '@bamboowell/types/work';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';
import { hasEnded, type WorkEntry } from '@bamboowell/state/shard-fold';

export function explain(owner: ShardOwner, entry: WorkEntry): string[] {
  const { context } = owner.view();
  if (hasEnded(entry)) {
    return ['The work has ended; none of its tasks are waiting.'];
  }
  const waiting = entry.tasks.filter((task) => task.state.kind === 'waiting').length;
  const sentences = [
    `${waiting} of ${taskCountOf(entry.work.shape)} tasks are waiting for a worker.`,
  ];
  if (context.ownedEpoch === undefined) {
    return [...sentences, 'This daemon does not own the shard, so it has no further details.'];
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
      'The owner cannot confirm that it still owns the shard (the log does not answer), so it starts no tasks.',
    ];
  }
  return context.mayUseHoldings
    ? []
    : ["The owner has not yet taken over the shard's holdings of the teams' upper limits."];
}

function limitSentences(owner: ShardOwner, entry: WorkEntry): string[] {
  const { context, limits, live } = owner.view();
  const { team, demand } = entry.work;
  const limit = context.cell?.configuration.teams.get(team)?.limit;
  if (limit === undefined) {
    return [`Team ${team} is not declared, so it may not run any tasks.`];
  }
  const available = limits.roomOf(team);
  const exceeded = shortDimensions(demand, available);
  if (exceeded.length === 0) {
    return [];
  }
  const holding = context.cell?.holdings.get(team);
  const held = holding === undefined ? 'nothing' : describe(holding.held);
  const total = holding === undefined ? 'nothing' : describe(holding.total);
  return [
    `Team ${team} is at its upper limit for ${exceeded.join(', ')}: its limit is ${describe(limit)}, ` +
      `all shards together hold ${total} of it, this shard holds ${held} and runs ${describe(live.runningOf(team))}.`,
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
    `A task requests ${describe(demand)}; ${fitting.length} of ${usable.length} usable workers have room for it ` +
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
