/** Switches of the scheduler that a deployment sets. */

export interface SchedulingOptions {
  /** Whether run times are taken as callers declare them or learned from finished runs. */
  readonly runTimes: 'declared' | 'learned';
  /**
   * Whether jobs beyond the promised rate of their team are refused by the room that is used up (`rate`) or by
   * when they are expected to start (`forecast`).
   */
  readonly admission: 'rate' | 'forecast';
  /** Whether what teams run beyond their promised rate is shared between them by weight. */
  readonly sharing: 'none' | 'weighted';
}

export const DEFAULT_SCHEDULING: SchedulingOptions = {
  runTimes: 'declared',
  admission: 'rate',
  sharing: 'none',
};
