/** Parses the declarations in several files and validates them together. */

import type { DataCentre, Queue, Team } from '@bamboowell/types/declarations';
import type { DataCentreId, QueueId, TeamId } from '@bamboowell/types/ids';
import { problemsOf } from '../issues.js';
import { parseJson } from '../json.js';
import { describeProblem, formatFound, formatPath, type Path, type Problem } from '../problem.js';
import { declarationsSchema, type DeclarationsFileContent } from './schema.js';

/** Name and text of a file of declarations. */
export interface DeclarationsFile {
  readonly name: string;
  readonly text: string;
}

/** The merged declarations of all files. Keys are not declared: commands grant and withdraw them. */
export interface Declarations {
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly queues: ReadonlyMap<QueueId, Queue>;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentre>;
}

export interface FileProblem {
  readonly file: string;
  readonly problem: Problem;
}

/** Valid declarations, or the problems found. */
export type ParsedDeclarations =
  | { readonly kind: 'valid'; readonly declarations: Declarations }
  | { readonly kind: 'invalid'; readonly problems: readonly FileProblem[] };

/** Formats a problem as one line. */
export function describeFileProblem({ file, problem }: FileProblem): string {
  return describeProblem(file, problem);
}

/**
 * Validates each file on its own. If all are valid, also checks across files that ids are unique and
 * that queues refer to declared teams.
 */
export function parseDeclarations(files: readonly DeclarationsFile[]): ParsedDeclarations {
  const parsed = files.map(parseFile);
  const problems = parsed.flatMap((file) => file.problems);
  if (problems.length > 0) {
    return { kind: 'invalid', problems };
  }
  const crossFileProblems = [...duplicateIds(parsed), ...undeclaredTeams(parsed)];
  if (crossFileProblems.length > 0) {
    return { kind: 'invalid', problems: crossFileProblems };
  }
  return { kind: 'valid', declarations: merge(parsed) };
}

interface ParsedFile {
  readonly name: string;
  readonly content: DeclarationsFileContent;
  readonly problems: readonly FileProblem[];
  /** Creates a problem at a path of this file. */
  readonly problemAt: (path: Path, expected: string, found: string) => FileProblem;
}

const NO_CONTENT: DeclarationsFileContent = { teams: [], queues: [], dataCentres: [] };

function parseFile({ name, text }: DeclarationsFile): ParsedFile {
  const json = parseJson(text);
  const positionOf = json.kind === 'parsed' ? json.positionOf : () => undefined;
  const problemAt = (path: Path, expected: string, found: string): FileProblem => {
    const position = positionOf(path);
    const problem = { path: formatPath(path), expected, found };
    return {
      file: name,
      problem: position === undefined ? problem : { ...problem, position },
    };
  };
  const invalid = (problems: readonly Problem[]): ParsedFile => ({
    name,
    content: NO_CONTENT,
    problems: problems.map((problem) => ({ file: name, problem })),
    problemAt,
  });
  if (json.kind === 'malformed') {
    return invalid(json.problems);
  }
  const checked = declarationsSchema.safeParse(json.value);
  return checked.success
    ? { name, content: checked.data, problems: [], problemAt }
    : invalid(problemsOf(checked.error, json.value, positionOf));
}

type ListName = keyof DeclarationsFileContent;

const LISTS: readonly ListName[] = ['teams', 'queues', 'dataCentres'];

function duplicateIds(files: readonly ParsedFile[]): FileProblem[] {
  return LISTS.flatMap((list) => duplicateIdsOf(list, files));
}

function duplicateIdsOf(list: ListName, files: readonly ParsedFile[]): FileProblem[] {
  const firstUses = new Map<string, string>();
  return files.flatMap((file) =>
    file.content[list].flatMap(({ id }, index) => {
      const path = [list, index, 'id'];
      const first = firstUses.get(id);
      if (first === undefined) {
        firstUses.set(id, `${file.name} at ${formatPath(path)}`);
        return [];
      }
      return [
        file.problemAt(path, 'a unique id', `${formatFound(path, id)}, also used in ${first}`),
      ];
    }),
  );
}

function undeclaredTeams(files: readonly ParsedFile[]): FileProblem[] {
  const teams = new Set(files.flatMap(({ content }) => content.teams.map(({ id }) => id)));
  return files.flatMap((file) =>
    file.content.queues.flatMap((queue, index) =>
      teamPathsOf(queue)
        .filter(({ team }) => !teams.has(team))
        .map(({ team, path }) =>
          file.problemAt(['queues', index, ...path], 'a declared team', formatFound(path, team)),
        ),
    ),
  );
}

/** The teams that a queue refers to, with their paths within the queue. */
function teamPathsOf({ access }: Queue): { team: TeamId; path: Path }[] {
  return access.kind === 'open'
    ? [{ team: access.team, path: ['openFor'] }]
    : access.teams.map((team, index) => ({ team, path: ['teams', index] }));
}

function merge(files: readonly ParsedFile[]): Declarations {
  return {
    teams: byId(files.flatMap(({ content }) => content.teams)),
    queues: byId(files.flatMap(({ content }) => content.queues)),
    dataCentres: byId(files.flatMap(({ content }) => content.dataCentres)),
  };
}

function byId<Item extends { readonly id: string }>(items: readonly Item[]): Map<Item['id'], Item> {
  return new Map(items.map((item) => [item.id, item]));
}
