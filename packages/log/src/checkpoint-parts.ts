/** Snapshots as checkpoint parts, and back. */

import { createHash } from 'node:crypto';
import { z } from 'zod';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { CheckpointPart } from '@bamboowell/types/records';

/** Most characters of a snapshot in one part. */
export const MAX_PART_CHARACTERS = 100_000;

/** Most snapshots whose parts are put together at the same time; the oldest is given up. */
const MAX_ASSEMBLING = 4;
const MAX_PARTS = 10_000;

const FIRST_UP_TO = /^\{"upTo":(\d{1,15}),/;
const snapshotSchema = z.object({ upTo: z.int().min(0) });

/** A snapshot all of whose parts were read and whose hash is right. */
export interface CompleteCheckpoint {
  readonly upTo: Offset;
  readonly snapshot: string;
}

/**
 * Cuts a snapshot into parts. Its text is a JSON object whose number `upTo` says below which offset
 * all entries are in it.
 * @throws Error if the text is not such an object.
 */
export function splitSnapshot(snapshot: string): CheckpointPart[] {
  const upTo = upToOf(snapshot);
  const hash = hashOf(snapshot);
  const parts = Math.max(1, Math.ceil(snapshot.length / MAX_PART_CHARACTERS));
  return Array.from({ length: parts }, (_, part) => ({
    kind: 'checkpoint',
    id: `${upTo}.${hash}`,
    upTo: brandAs<Offset>(upTo),
    part,
    parts,
    hash,
    body: snapshot.slice(part * MAX_PART_CHARACTERS, (part + 1) * MAX_PART_CHARACTERS),
  }));
}

/** Snapshots of our folds begin with it: to parse megabytes for one number would delay the task. */
function upToOf(snapshot: string): number {
  const first = FIRST_UP_TO.exec(snapshot)?.[1];
  return first === undefined ? snapshotSchema.parse(JSON.parse(snapshot)).upTo : Number(first);
}

/** Puts parts together in whatever order they come; ignores what is incomplete or damaged. */
export class CheckpointAssembler {
  private readonly assembling = new Map<string, Map<number, CheckpointPart>>();

  /** The checkpoint that this part made whole, if it did. */
  add(part: CheckpointPart): CompleteCheckpoint | undefined {
    if (part.parts > MAX_PARTS || part.part >= part.parts) {
      return undefined;
    }
    const found = this.partsOf(part);
    found.set(part.part, part);
    if (found.size < part.parts) {
      return undefined;
    }
    this.assembling.delete(keyOf(part));
    return join(part, found);
  }

  private partsOf(part: CheckpointPart): Map<number, CheckpointPart> {
    const key = keyOf(part);
    const found = this.assembling.get(key) ?? new Map<number, CheckpointPart>();
    this.assembling.set(key, found);
    for (const oldest of this.assembling.keys()) {
      if (this.assembling.size <= MAX_ASSEMBLING) {
        break;
      }
      this.assembling.delete(oldest);
    }
    return found;
  }
}

function join(
  { upTo, parts, hash }: CheckpointPart,
  found: ReadonlyMap<number, CheckpointPart>,
): CompleteCheckpoint | undefined {
  const bodies = Array.from({ length: parts }, (_, part) => found.get(part)?.body ?? '');
  const snapshot = bodies.join('');
  return hashOf(snapshot) === hash ? { upTo, snapshot } : undefined;
}

/** The record as a part, if it is one. */
export function asCheckpointPart(record: { readonly kind: string }): CheckpointPart | undefined {
  return isCheckpointPart(record) ? record : undefined;
}

function isCheckpointPart(record: { readonly kind: string }): record is CheckpointPart {
  return record.kind === 'checkpoint';
}

/** Parts that agree in all of this belong together. */
function keyOf({ id, upTo, parts, hash }: CheckpointPart): string {
  return JSON.stringify([id, upTo, parts, hash]);
}

function hashOf(snapshot: string): string {
  return createHash('sha256').update(snapshot).digest('hex');
}
