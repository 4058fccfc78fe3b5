/** Options that several commands have, and how their values are read. */

import { InvalidArgumentError, Option } from "commander";

/** Option of commands that read or write the platform's table. */
export interface PlatformOptions {
  readonly platform?: string;
}

/** Option of commands that ask entry instances. */
export interface InstanceOptions {
  readonly instance?: readonly string[];
}

/** Option of commands that leave a trace in the table. */
export interface AuthorOptions {
  readonly author: string;
}

/** Environment variable with the platform's address. */
export const PLATFORM_VARIABLE = "CHESTNUTHATCH_PLATFORM";
/** Environment variable with the instances' addresses. */
export const INSTANCES_VARIABLE = "CHESTNUTHATCH_INSTANCES";
/** Environment variable with the operator's name. */
export const AUTHOR_VARIABLE = "CHESTNUTHATCH_AUTHOR";

const ADDRESS_PATTERN = /^[^\s:/]+:\d{1,5}$/;
const SEPARATOR_PATTERN = /[\s,]+/;

/** @returns `--json`. */
export function jsonOption(): Option {
  return new Option("--json", "print the result as JSON").default(false);
}

/** @returns `--platform`. */
export function platformOption(): Option {
  return new Option("--platform <host:port>", "address of the platform")
    .env(PLATFORM_VARIABLE)
    .argParser(parseAddress);
}

/** @returns `--instance`, which may be given several times. */
export function instanceOption(): Option {
  return new Option(
    "--instance <host:port>",
    "callers' address of an entry instance; repeat it, or separate by commas",
  )
    .env(INSTANCES_VARIABLE)
    .argParser(parseAddresses);
}

/** @returns `--author`, which must be given. */
export function authorOption(): Option {
  return new Option("--author <name>", "who you are, for others to read")
    .env(AUTHOR_VARIABLE)
    .makeOptionMandatory();
}

/**
 * Words the examples of a command's help.
 *
 * @param lines What follows the program's name in each.
 * @returns Text for commander's `addHelpText`.
 */
export function examples(...lines: readonly string[]): string {
  const shown = lines.map((line) => `  $ chestnuthatch ${line}`);
  return ["", "Examples:", ...shown].join("\n");
}

/**
 * Reads a number above 0.
 *
 * @param max The highest allowed.
 * @returns A parser for commander.
 */
export function positiveNumber(max = Infinity): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (!(value > 0 && value <= max)) {
      throw new InvalidArgumentError(`must be above 0${upTo(max)}.`);
    }
    return value;
  };
}

/**
 * Reads a whole number.
 *
 * @param min The lowest allowed.
 * @param max The highest allowed.
 * @returns A parser for commander.
 */
export function wholeNumber(
  min: number,
  max: number = Number.MAX_SAFE_INTEGER,
): (text: string) => number {
  return (text) => {
    const value = Number(text);
    const valid = /^\d+$/.test(text) && value >= min && value <= max;
    if (!valid) {
      throw new InvalidArgumentError(
        `must be a whole number from ${min}${upTo(max)}.`,
      );
    }
    return value;
  };
}

function upTo(max: number): string {
  const bounded = Number.isFinite(max) && max !== Number.MAX_SAFE_INTEGER;
  return bounded ? ` to ${max}` : "";
}

function parseAddress(text: string): string {
  if (!ADDRESS_PATTERN.test(text)) {
    throw new InvalidArgumentError(`"${text}" is not host:port.`);
  }
  return text;
}

function parseAddresses(text: string, earlier: string[] = []): string[] {
  const added = text.split(SEPARATOR_PATTERN).filter((part) => part !== "")
    .map(parseAddress);
  return [...new Set([...earlier, ...added])];
}
