/** Faults that can be switched on and off in the stand-in log. */

import { z } from 'zod';

/** Body of `PUT /switches`. A switch that is left out stays as it is. */
export const switchesSchema = z.strictObject({
  /**
   * `refuse`: answers 503 to appends and reads. `hang`: never answers them. Neither stores an
   * append.
   */
  down: z.enum(['no', 'refuse', 'hang']).optional(),
  /** Delay before each append and read is handled. */
  slowMillis: z.int().min(0).optional(),
  /**
   * The next `count` appends take effect but go unanswered: `cut` closes the connection, `drop`
   * leaves it open and silent.
   */
  loseAnswers: z.strictObject({ count: z.int().min(0), how: z.enum(['cut', 'drop']) }).optional(),
  /**
   * The next `count` appends go unanswered and take effect only after `afterAppends` later appends
   * to the same stream.
   */
  lateEffect: z.strictObject({ count: z.int().min(0), afterAppends: z.int().min(1) }).optional(),
});

export type SwitchChange = z.infer<typeof switchesSchema>;

export type Switches = { readonly [Name in keyof SwitchChange]-?: NonNullable<SwitchChange[Name]> };

export const NO_FAULTS: Switches = {
  down: 'no',
  slowMillis: 0,
  loseAnswers: { count: 0, how: 'cut' },
  lateEffect: { count: 0, afterAppends: 1 },
};

/** The switches after a change. */
export function withChange(switches: Switches, change: SwitchChange): Switches {
  return {
    down: change.down ?? switches.down,
    slowMillis: change.slowMillis ?? switches.slowMillis,
    loseAnswers: change.loseAnswers ?? switches.loseAnswers,
    lateEffect: change.lateEffect ?? switches.lateEffect,
  };
}
