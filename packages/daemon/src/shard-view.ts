/** Builds the view of a shard for the status page. */

import { brandAs, type TeamId } from '@bamboowell/types/ids';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { hasPassed } from '@bamboowell/types/time';
import type { ShardView, WorkerView } from '@bamboowell/front/backend';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';

export function shardViewOf(owner: ShardOwner): ShardView {
  const { context, live, sessions } = owner.view();
  return {
    shard: owner.shard,
    owner: owner.fold.owner ?? '',
    epoch: owner.fold.epoch,
    fresh: !hasPassed(context.authority.freshUntil, context.now),
    waiting: context.ordering.size,
    running: live.size,
    workers: [...sessions.all()].map(({ worker }) => workerViewOf(owner, worker)),
    teams: owner.teams().map((team) => teamViewOf(owner, team)),
    error: '',
  };
}

function workerViewOf(owner: ShardOwner, worker: WorkerView['worker']): WorkerView {
  const { context, sessions } = owner.view();
  const session = sessions.get(worker);
  const machine = context.fleet.get(worker);
  const attachState = session?.attached === true ? 'attached' : 'detached';
  const connectionState = session?.quarantined === true ? 'quarantined' : attachState;
  return {
    worker,
    state: session?.leaving === true ? 'leaving' : connectionState,
    capacity: machine?.profile.capacity ?? NO_RESOURCES,
    used: machine?.used ?? NO_RESOURCES,
  };
}

function teamViewOf(owner: ShardOwner, team: TeamId) {
  const { context, live } = owner.view();
  return {
    team: brandAs<TeamId>(team),
    running: live.runningOf(team),
    held: context.cell?.holdings.get(team)?.held ?? NO_RESOURCES,
    waiting: context.ordering.waitingOfTeam(team),
  };
}
