/** Answers questions about a shard from the state of its owner. */

import { match } from 'ts-pattern';
import type { ShardOwner } from '@bamboowell/owner/shard-owner';
import { done, refused } from '@bamboowell/types/verdict';
import { explain } from './explain.js';
import type { ShardQuery } from './shard-messages.js';
import { shardViewOf } from './shard-view.js';
import { workViewOf } from './work-views.js';

type WorkQuestion = Extract<ShardQuery, { kind: 'get' | 'explain' }>;

/** Replies to the question. */
export function answerQuery(owner: ShardOwner, question: ShardQuery): void {
  if (question.kind === 'status') {
    question.reply(done(shardViewOf(owner)));
  } else {
    answerAboutWork(owner, question);
  }
}

function answerAboutWork(owner: ShardOwner, question: WorkQuestion): void {
  const entry = owner.fold.get(question.work);
  if (entry === undefined) {
    question.reply(refused('unknown_work', `there is no work ${question.work}`, 'workId'));
    return;
  }
  const view = workViewOf(owner, entry);
  match(question)
    .with({ kind: 'get' }, ({ reply }) => {
      reply(done(view));
    })
    .with({ kind: 'explain' }, ({ reply }) => {
      reply(done({ view, sentences: explain(owner, entry) }));
    })
    .exhaustive();
}
