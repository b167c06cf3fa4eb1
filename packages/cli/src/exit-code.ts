/** Exit codes, which tell a shell the outcome of a request. */

import type { Verdict } from '@bamboowell/types/verdict';

export const EXIT_CODES = {
  done: 0,
  /** The command line, the key, a file or a setting is wrong. Nothing was changed in the cell. */
  usage: 1,
  /** `diff` found differences. */
  different: 2,
  notRun: 3,
  mayHaveRun: 4,
  /** It ran and failed. */
  ran: 5,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

const CODES_BY_VERDICT: Readonly<Record<Verdict, ExitCode>> = {
  not_run: EXIT_CODES.notRun,
  may_have_run: EXIT_CODES.mayHaveRun,
  ran: EXIT_CODES.ran,
};

/** The exit code of a failure with this verdict. */
export function exitCodeOf(verdict: Verdict): ExitCode {
  return CODES_BY_VERDICT[verdict];
}

/** The sentence about exit codes in each command's help. */
export const EXIT_CODES_HELP =
  'Exit codes: 0 done; 1 wrong usage, file or setting; 3 not run; 4 may have run; 5 ran and failed.';
