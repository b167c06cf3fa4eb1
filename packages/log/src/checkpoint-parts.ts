/** Splits snapshots into checkpoint parts and reassembles them. */

import { createHash } from 'node:crypto';
import { z } from 'zod';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { CheckpointPart } from '@bamboowell/types/records';

/** Maximum number of characters of a snapshot in one part. */
export const MAX_PART_CHARACTERS = 100_000;

/** Maximum number of snapshots that are assembled at the same time; the oldest one is dropped. */
const MAX_CONCURRENT_ASSEMBLIES = 4;
const MAX_PARTS = 10_000;

const LEADING_UP_TO = /^\{"upTo":(\d{1,15}),/;
const snapshotSchema = z.object({ upTo: z.int().min(0) });

/** A snapshot whose parts were all read and whose hash matches. */
export interface CompleteCheckpoint {
  readonly upTo: Offset;
  readonly snapshot: string;
}

/**
 * Splits a snapshot into parts. The snapshot is a JSON object whose number `upTo` is the offset
 * below which it includes all entries.
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

/**
 * Reads `upTo`. Snapshots of our folds begin with it, so that it is found without parsing megabytes
 * of JSON, which would delay the task.
 */
function upToOf(snapshot: string): number {
  const first = LEADING_UP_TO.exec(snapshot)?.[1];
  return first === undefined ? snapshotSchema.parse(JSON.parse(snapshot)).upTo : Number(first);
}

/** Assembles snapshots from parts that arrive in any order; ignores incomplete and damaged ones. */
export class CheckpointAssembler {
  private readonly assembling = new Map<string, Map<number, CheckpointPart>>();

  /** Adds a part. Returns the checkpoint if this part completes it. */
  add(part: CheckpointPart): CompleteCheckpoint | undefined {
    if (part.parts > MAX_PARTS || part.part >= part.parts) {
      return undefined;
    }
    const collected = this.partsOf(part);
    collected.set(part.part, part);
    if (collected.size < part.parts) {
      return undefined;
    }
    this.assembling.delete(keyOf(part));
    return join(part, collected);
  }

  private partsOf(part: CheckpointPart): Map<number, CheckpointPart> {
    const key = keyOf(part);
    const collected = this.assembling.get(key) ?? new Map<number, CheckpointPart>();
    this.assembling.set(key, collected);
    for (const oldest of this.assembling.keys()) {
      if (this.assembling.size <= MAX_CONCURRENT_ASSEMBLIES) {
        break;
      }
      this.assembling.delete(oldest);
    }
    return collected;
  }
}

function join(
  { upTo, parts, hash }: CheckpointPart,
  collected: ReadonlyMap<number, CheckpointPart>,
): CompleteCheckpoint | undefined {
  const bodies = Array.from({ length: parts }, (_, part) => collected.get(part)?.body ?? '');
  const snapshot = bodies.join('');
  return hashOf(snapshot) === hash ? { upTo, snapshot } : undefined;
}

/** Returns the record if it is a checkpoint part, else undefined. */
export function asCheckpointPart(record: { readonly kind: string }): CheckpointPart | undefined {
  return isCheckpointPart(record) ? record : undefined;
}

function isCheckpointPart(record: { readonly kind: string }): record is CheckpointPart {
  return record.kind === 'checkpoint';
}

/** Parts with the same key belong to the same snapshot. */
function keyOf({ id, upTo, parts, hash }: CheckpointPart): string {
  return JSON.stringify([id, upTo, parts, hash]);
}

function hashOf(snapshot: string): string {
  return createHash('sha256').update(snapshot).digest('hex');
}
