/** Options that several commands share, and the parsers of their values. */

import { InvalidArgumentError, Option } from "commander";

/** Option of commands that read or write the platform's table. */
export interface PlatformOptions {
  /** Address of the platform as `host:port`. */
  readonly platform?: string;
}

/** Option of commands that query entry instances. */
export interface InstanceOptions {
  /** `host:port` of the interface for callers, for each instance. */
  readonly instance?: readonly string[];
}

/** Option of commands that write to the platform's table. */
export interface AuthorOptions {
  /** Name of the operator, which the table records. */
  readonly author: string;
}

/** Environment variable with the address of the platform. */
export const PLATFORM_VARIABLE = "CHESTNUTHATCH_PLATFORM";
/** Environment variable with the addresses of the instances. */
export const INSTANCES_VARIABLE = "CHESTNUTHATCH_INSTANCES";
/** Environment variable with the name of the operator. */
export const AUTHOR_VARIABLE = "CHESTNUTHATCH_AUTHOR";

const ADDRESS_PATTERN = /^[^\s:/]+:\d{1,5}$/;
const SEPARATOR_PATTERN = /[\s,]+/;

/** @returns The option `--json`. */
export function jsonOption(): Option {
  return new Option("--json", "print the result as JSON").default(false);
}

/** @returns The option `--platform`. */
export function platformOption(): Option {
  return new Option("--platform <host:port>", "address of the platform")
    .env(PLATFORM_VARIABLE)
    .argParser(parseAddress);
}

/** @returns The option `--instance`, which may be repeated. */
export function instanceOption(): Option {
  return new Option(
    "--instance <host:port>",
    "callers' address of an entry instance; repeat it, or separate by commas",
  )
    .env(INSTANCES_VARIABLE)
    .argParser(parseAddresses);
}

/** @returns The option `--author`, which is required. */
export function authorOption(): Option {
  return new Option("--author <name>", "who you are, for others to read")
    .env(AUTHOR_VARIABLE)
    .makeOptionMandatory();
}

/**
 * Formats the examples in the help of a command.
 *
 * @param lines Arguments of each example, without the program's name.
 * @returns Text for commander's `addHelpText`.
 */
export function examples(...lines: readonly string[]): string {
  const shown = lines.map((line) => `  $ chestnuthatch ${line}`);
  return ["", "Examples:", ...shown].join("\n");
}

/**
 * Creates a parser of numbers above 0.
 *
 * @param max Highest valid number.
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
 * Creates a parser of whole numbers.
 *
 * @param min Lowest valid number.
 * @param max Highest valid number.
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
