/** Amounts of what a worker has and a task needs. */

/** One amount in each dimension. All are whole and not negative. */
export interface Resources {
  /** Processor time, thousandths of a core. */
  readonly millicores: number;
  /** Memory, MiB. */
  readonly memoryMib: number;
  readonly accelerators: number;
  /** Slots for quick calls and services. */
  readonly slots: number;
}

export type Dimension = keyof Resources;

export const DIMENSIONS: readonly Dimension[] = [
  'millicores',
  'memoryMib',
  'accelerators',
  'slots',
];

export const NO_RESOURCES: Resources = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 0 };

/** Builds an amount from a function of the dimension. */
export function resourcesOf(amount: (dimension: Dimension) => number): Resources {
  return {
    millicores: amount('millicores'),
    memoryMib: amount('memoryMib'),
    accelerators: amount('accelerators'),
    slots: amount('slots'),
  };
}

export function add(left: Resources, right: Resources): Resources {
  return {
    millicores: left.millicores + right.millicores,
    memoryMib: left.memoryMib + right.memoryMib,
    accelerators: left.accelerators + right.accelerators,
    slots: left.slots + right.slots,
  };
}

/** The difference; may be negative in a dimension. */
export function subtract(left: Resources, right: Resources): Resources {
  return {
    millicores: left.millicores - right.millicores,
    memoryMib: left.memoryMib - right.memoryMib,
    accelerators: left.accelerators - right.accelerators,
    slots: left.slots - right.slots,
  };
}

export function multiply(amount: Resources, factor: number): Resources {
  return resourcesOf((dimension) => amount[dimension] * factor);
}

/** Whether `need` is at most `room` in every dimension. */
export function fits(need: Resources, room: Resources): boolean {
  return (
    need.millicores <= room.millicores &&
    need.memoryMib <= room.memoryMib &&
    need.accelerators <= room.accelerators &&
    need.slots <= room.slots
  );
}

/** Cuts negative amounts to zero. */
export function positivePart(amount: Resources): Resources {
  return resourcesOf((dimension) => Math.max(0, amount[dimension]));
}

/** Whether every dimension is zero. */
export function isZero(amount: Resources): boolean {
  return DIMENSIONS.every((dimension) => amount[dimension] === 0);
}

/** The dimensions in which `need` is more than `room`. */
export function shortDimensions(need: Resources, room: Resources): Dimension[] {
  return DIMENSIONS.filter((dimension) => need[dimension] > room[dimension]);
}
