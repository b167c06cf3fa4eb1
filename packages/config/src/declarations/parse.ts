/** Reads the declarations of a folder's files and checks them together. */

import type { DataCentre, Queue, Team } from '@bamboowell/types/declarations';
import type { DataCentreId, QueueId, TeamId } from '@bamboowell/types/ids';
import { problemsOf } from '../issues.js';
import { parseJson } from '../json.js';
import { describeProblem, formatFound, formatPath, type Path, type Problem } from '../problem.js';
import { declarationsSchema, type DeclarationsFileContent } from './schema.js';

/** A file as it was read. */
export interface DeclarationsFile {
  readonly name: string;
  readonly text: string;
}

/** What a folder of files declares. Keys are granted and withdrawn by commands only. */
export interface Declarations {
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly queues: ReadonlyMap<QueueId, Queue>;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentre>;
}

export interface FileProblem {
  readonly file: string;
  readonly problem: Problem;
}

/** Valid declarations, or every problem that could be found. */
export type ParsedDeclarations =
  | { readonly kind: 'valid'; readonly declarations: Declarations }
  | { readonly kind: 'invalid'; readonly problems: readonly FileProblem[] };

/** One line for people. */
export function describeFileProblem({ file, problem }: FileProblem): string {
  return describeProblem(file, problem);
}

/** Checks each file, then what only shows between files. */
export function parseDeclarations(files: readonly DeclarationsFile[]): ParsedDeclarations {
  const read = files.map(readFile);
  const problems = read.flatMap((file) => file.problems);
  if (problems.length > 0) {
    return { kind: 'invalid', problems };
  }
  const between = [...repeatedIds(read), ...absentTeams(read)];
  if (between.length > 0) {
    return { kind: 'invalid', problems: between };
  }
  return { kind: 'valid', declarations: joined(read) };
}

interface ReadFile {
  readonly name: string;
  readonly content: DeclarationsFileContent;
  readonly problems: readonly FileProblem[];
  /** A problem at a path of this file. */
  readonly problemAt: (path: Path, expected: string, found: string) => FileProblem;
}

const NO_CONTENT: DeclarationsFileContent = { teams: [], queues: [], dataCentres: [] };

function readFile({ name, text }: DeclarationsFile): ReadFile {
  const json = parseJson(text);
  const placeOf = json.kind === 'parsed' ? json.positionOf : () => undefined;
  const problemAt = (path: Path, expected: string, found: string): FileProblem => {
    const place = placeOf(path);
    const problem = { path: formatPath(path), expected, found };
    return { file: name, problem: place === undefined ? problem : { ...problem, position: place } };
  };
  const invalid = (problems: readonly Problem[]): ReadFile => ({
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
    : invalid(problemsOf(checked.error, json.value, placeOf));
}

type ListName = keyof DeclarationsFileContent;

const LISTS: readonly ListName[] = ['teams', 'queues', 'dataCentres'];

function repeatedIds(files: readonly ReadFile[]): FileProblem[] {
  return LISTS.flatMap((list) => repeatedIdsOf(list, files));
}

function repeatedIdsOf(list: ListName, files: readonly ReadFile[]): FileProblem[] {
  const firstPlaces = new Map<string, string>();
  return files.flatMap((file) =>
    file.content[list].flatMap(({ id }, index) => {
      const path = [list, index, 'id'];
      const first = firstPlaces.get(id);
      if (first === undefined) {
        firstPlaces.set(id, `${file.name} at ${formatPath(path)}`);
        return [];
      }
      return [
        file.problemAt(path, 'an id that is used once', `${formatFound(path, id)}, as in ${first}`),
      ];
    }),
  );
}

function absentTeams(files: readonly ReadFile[]): FileProblem[] {
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

/** The teams that a queue names, with their paths in the queue. */
function teamPathsOf({ access }: Queue): { team: TeamId; path: Path }[] {
  return access.kind === 'open'
    ? [{ team: access.team, path: ['openFor'] }]
    : access.teams.map((team, index) => ({ team, path: ['teams', index] }));
}

function joined(files: readonly ReadFile[]): Declarations {
  return {
    teams: byId(files.flatMap(({ content }) => content.teams)),
    queues: byId(files.flatMap(({ content }) => content.queues)),
    dataCentres: byId(files.flatMap(({ content }) => content.dataCentres)),
  };
}

function byId<Item extends { readonly id: string }>(items: readonly Item[]): Map<Item['id'], Item> {
  return new Map(items.map((item) => [item.id, item]));
}
