/** Reads back the lines that `line` writes. */

/** One event as it was logged. All values are text. */
export interface LoggedEvent {
  readonly name: string;
  /** Time of day, milliseconds since 1970; zero where the line has none. */
  readonly at: number;
  readonly fields: ReadonlyMap<string, string>;
}

/** `key=value`, the value plain or a JSON string. */
const PAIR = /([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** The event of a line, which may stand behind a prefix of whoever gathered the lines. */
export function parseLine(line: string): LoggedEvent | undefined {
  const start = line.indexOf('event=');
  // Two events in one line: its writer was cut off in the middle.
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
    // Cut off within the quotes: what is there still helps a reader.
    return value;
  }
}
