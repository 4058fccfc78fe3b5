/** Checks what a caller sent, naming the path of the field at fault. */

import type { Buffer } from "node:buffer";
import { TextDecoder } from "node:util";
import {
  type CallerRequest,
  callerRequestSchema,
} from "@chestnuthatch/wire/caller_protocol";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";

/** What is wrong with a caller's body. */
export interface InputFault {
  /** Path of the field at fault; absent for the body as a whole. */
  readonly path?: string;
  /** What was found and what is allowed. */
  readonly message: string;
}

type Issue = z.core.$ZodIssue;
type IssueCode = Issue["code"];
type Describer = (issue: Issue, fields: Readonly<FieldValues>) => string;
type FieldValues = Record<string, unknown>;

const FIELD_NAMES = Object.keys(callerRequestSchema.shape);
const MAX_QUOTED_CHARACTERS = 60;

/** What each field takes, in the words of the callers' page. */
const ALLOWED: Readonly<Record<keyof CallerRequest, string>> = {
  workspace: "a string that is not empty",
  tier: "a string that is not empty",
  pool: "a string that is not empty",
  body: "a string",
  promptTokens: "a whole number from 1 to 2^53 - 1",
  maxOutputTokens: "a whole number from 1 to 2^53 - 1",
  deadlineMs: "a whole number of milliseconds from 1 to 2^53 - 1",
  idempotent: "true or false",
  idempotencyKey: "a string of 1 to 200 characters",
  firstAttempt: "true or false",
  stream: "true or false",
};

const DESCRIBERS: Readonly<Partial<Record<IssueCode, Describer>>> = {
  unrecognized_keys: () =>
    `is not a field; allowed fields are ${FIELD_NAMES.join(", ")}`,
};

/**
 * Parses and checks the body of `POST /v1/requests`.
 *
 * @param bytes The body.
 * @returns The request, or the first field at fault.
 */
export function parseCallerRequest(
  bytes: Buffer,
): Result<CallerRequest, InputFault> {
  return parseJson(bytes).andThen(checkRequest);
}

function parseJson(bytes: Buffer): Result<unknown, InputFault> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return ok(JSON.parse(text));
  } catch {
    return err({ message: "The body is not JSON in UTF-8." });
  }
}

function checkRequest(value: unknown): Result<CallerRequest, InputFault> {
  const parsed = callerRequestSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  if (!isFields(value)) {
    return err({
      message: `The body is ${typeName(value)}; allowed is a JSON object.`,
    });
  }
  return err(describe(parsed.error.issues[0], value));
}

function isFields(value: unknown): value is FieldValues {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function describe(issue: Issue, fields: FieldValues): InputFault {
  const path = shorten(pathOf(issue));
  const describer = DESCRIBERS[issue.code] ?? describeField;
  return { path, message: `Field ${path} ${describer(issue, fields)}.` };
}

function pathOf(issue: Issue): string {
  return issue.code === "unrecognized_keys"
    ? issue.keys[0]
    : issue.path.join(".");
}

function describeField(issue: Issue, fields: FieldValues): string {
  const field = String(issue.path[0]);
  const allowed = ALLOWED[field as keyof CallerRequest];
  return Object.hasOwn(fields, field)
    ? `is ${valueName(fields[field])}; allowed is ${allowed}`
    : `is missing; it must be ${allowed}`;
}

function valueName(value: unknown): string {
  if (typeof value === "number") {
    return `the number ${value}`;
  }
  if (typeof value === "string") {
    return `a string of ${value.length} characters`;
  }
  return typeName(value);
}

function typeName(value: unknown): string {
  if (value === null) {
    return "null";
  }
  if (Array.isArray(value)) {
    return "an array";
  }
  return typeof value === "object" ? "an object" : `a ${typeof value}`;
}

function shorten(text: string): string {
  return text.length > MAX_QUOTED_CHARACTERS
    ? `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`
    : text;
}
