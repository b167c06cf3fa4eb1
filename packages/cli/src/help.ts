/** Help texts and messages about wrong usage. */

import type { Definition } from 'clipanion';

const BINARY = 'bamboowell';
const VALUE = 'VALUE';
const HELP_FLAGS = ['-h', '--help'];

/** Whether the user asks for help instead of running a command. */
export function isHelpRequested(args: readonly string[]): boolean {
  const end = args.indexOf('--');
  const ownArgs = end === -1 ? args : args.slice(0, end);
  return (
    ownArgs.length === 0 || ownArgs[0] === 'help' || ownArgs.some((arg) => HELP_FLAGS.includes(arg))
  );
}

/** Help for the command that `args` name, or the list of commands whose names start with them. */
export function helpText(definitions: readonly Definition[], args: readonly string[]): string {
  const words = args.filter((arg) => !arg.startsWith('-') && arg !== 'help');
  const command = commandOf(definitions, words);
  return command === undefined ? overview(definitions, words) : commandHelp(command);
}

/** Message of two lines at most for arguments that the parser rejected with `message`. */
export function usageProblem(
  definitions: readonly Definition[],
  args: readonly string[],
  message: string,
): string {
  const command = commandOf(definitions, args);
  if (command === undefined) {
    return `${BINARY}: there is no command ${args.join(' ')}; see ${BINARY} help\n`;
  }
  const missing = command.options
    .filter(({ required }) => required)
    .map(({ definition }) => flagOf(definition))
    .filter((flag) => !args.some((arg) => arg === flag || arg.startsWith(`${flag}=`)));
  const problem = missing.length > 0 ? `${missing.join(', ')} must be given` : firstLineOf(message);
  return `${BINARY}: ${problem}\nsee ${command.path} --help\n`;
}

function firstLineOf(message: string): string {
  return message.split('\n', 1)[0] ?? message;
}

function flagOf(definition: string): string {
  return definition.split(' ', 1)[0] ?? definition;
}

/** The name of a command, such as `key grant`. */
export function commandName({ path }: Definition): string {
  return path.replace(`${BINARY} `, '');
}

/** The command whose name is a prefix of the words. */
function commandOf(
  definitions: readonly Definition[],
  words: readonly string[],
): Definition | undefined {
  return definitions.find((definition) => {
    const name = commandName(definition).split(' ');
    return name.every((part, index) => words[index] === part);
  });
}

function overview(definitions: readonly Definition[], words: readonly string[]): string {
  const prefix = words.join(' ');
  const matching = definitions.filter((definition) => commandName(definition).startsWith(prefix));
  const shown = matching.length > 0 ? matching : definitions;
  const width = Math.max(...shown.map((definition) => commandName(definition).length));
  const categories = [...new Set(shown.map(({ category }) => category))];
  const blocks = categories.map((category) => {
    const lines = shown
      .filter((definition) => definition.category === category)
      .map(
        (definition) =>
          `  ${commandName(definition).padEnd(width)}  ${trimmed(definition.description)}`,
      );
    return [`${trimmed(category)}:`, ...lines].join('\n');
  });
  return [
    `Usage: ${BINARY} COMMAND [options]`,
    ...blocks,
    `${BINARY} COMMAND --help shows more about a command.\n`,
  ].join('\n\n');
}

function commandHelp(command: Definition): string {
  const { usage, description, details, examples = [], options } = command;
  const width = Math.max(...options.map(({ definition }) => optionText(definition).length));
  const optionLines = options.map(
    (option) =>
      `  ${optionText(option.definition).padEnd(width)}  ${option.description ?? ''}${option.required ? ' (required)' : ''}`,
  );
  const exampleLines = examples.flatMap(([label, line]) => [`  # ${trimmed(label)}`, `  ${line}`]);
  return [
    `Usage: ${usage} [options]`,
    trimmed(description),
    ['Options:', ...optionLines].join('\n'),
    trimmed(details),
    ['Examples:', ...exampleLines].join('\n') + '\n',
  ].join('\n\n');
}

/** Replaces `#0`, clipanion's placeholder for an option's value. */
function optionText(definition: string): string {
  return definition.replace('#0', VALUE);
}

function trimmed(text: string | undefined): string {
  return (text ?? '').trim();
}
