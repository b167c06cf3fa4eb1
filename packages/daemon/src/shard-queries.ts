/** Answers queries about a shard from the state of its owner. */

import { match } from 'ts-pattern';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';
import { done, refused } from '@bamboowell/types/verdict';
import { explain } from './explain.js';
import type { ShardQuery } from './shard-messages.js';
import { shardViewOf } from './shard-view.js';
import { workViewOf } from './work-views.js';

type WorkQuery = Extract<ShardQuery, { kind: 'get' | 'explain' }>;

/** Replies to the query. */
export function answerQuery(owner: ShardOwner, query: ShardQuery): void {
  if (query.kind === 'status') {
    query.reply(done(shardViewOf(owner)));
  } else {
    answerWorkQuery(owner, query);
  }
}

function answerWorkQuery(owner: ShardOwner, query: WorkQuery): void {
  const entry = owner.fold.get(query.work);
  if (entry === undefined) {
    query.reply(refused('unknown_work', `there is no work item ${query.work}`, 'workId'));
    return;
  }
  const view = workViewOf(owner, entry);
  match(query)
    .with({ kind: 'get' }, ({ reply }) => {
      reply(done(view));
    })
    .with({ kind: 'explain' }, ({ reply }) => {
      reply(done({ view, sentences: explain(owner, entry) }));
    })
    .exhaustive();
}
