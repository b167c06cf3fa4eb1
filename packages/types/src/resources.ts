/** Amounts of the resources that a worker has or a task needs. */

/** One amount for each dimension: whole numbers, not negative. */
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

/** Builds resources from a function that gives the amount of each dimension. */
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

/** The difference, which may be negative in a dimension. */
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

/** Whether `need` is at most `available` in every dimension. */
export function fits(need: Resources, available: Resources): boolean {
  return (
    need.millicores <= available.millicores &&
    need.memoryMib <= available.memoryMib &&
    need.accelerators <= available.accelerators &&
    need.slots <= available.slots
  );
}

/** Replaces negative amounts by zero. */
export function positivePart(amount: Resources): Resources {
  return resourcesOf((dimension) => Math.max(0, amount[dimension]));
}

/** Whether every dimension is zero. */
export function isZero(amount: Resources): boolean {
  return DIMENSIONS.every((dimension) => amount[dimension] === 0);
}

/** The dimensions in which `need` is more than `available`. */
export function shortDimensions(need: Resources, available: Resources): Dimension[] {
  return DIMENSIONS.filter((dimension) => need[dimension] > available[dimension]);
}
