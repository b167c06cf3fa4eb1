/** Parses the lines that `lineOf` formats. */

/** One event as it was logged. All values are text. */
export interface LoggedEvent {
  readonly name: string;
  /** Milliseconds since 1970; zero if the line has no time. */
  readonly at: number;
  readonly fields: ReadonlyMap<string, string>;
}

/** `key=value`, the value plain or a JSON string. */
const PAIR = /([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** Parses the event of a line, which may start with a prefix that a log collector added. */
export function parseLine(line: string): LoggedEvent | undefined {
  const start = line.indexOf('event=');
  // Two events in one line: the first one was cut off before its end.
  if (start < 0 || line.includes(' event=', start + 1)) {
    return undefined;
  }
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of line.slice(start).matchAll(PAIR)) {
    fields.set(key, textOf(value));
  }
  const name = fields.get('event');
  const at = Number(fields.get('at') ?? 0);
  return name === undefined || !Number.isFinite(at) ? undefined : { name, at, fields };
}

function textOf(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return String(JSON.parse(value));
  } catch {
    // The line was cut off within the quotes. Its raw text still helps a reader.
    return value;
  }
}
