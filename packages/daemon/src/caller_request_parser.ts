/** Parses and validates the JSON body of a caller's request. */

import type { Buffer } from "node:buffer";
import { TextDecoder } from "node:util";
import {
  type CallerRequest,
  callerRequestSchema,
} from "@chestnuthatch/wire/caller_protocol";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";

/** Validation error of a request body. */
export interface InputFault {
  /** Path of the invalid field; absent if the body as a whole is invalid. */
  readonly path?: string;
  /** Sentence that states what was found and what is allowed. */
  readonly message: string;
}

type Issue = z.core.$ZodIssue;
type IssueCode = Issue["code"];
type IssueDescriber = (issue: Issue, fields: Readonly<JsonObject>) => string;
type JsonObject = Record<string, unknown>;

const ALLOWED_FIELD_NAMES = Object.keys(callerRequestSchema.shape);
const MAX_QUOTED_CHARACTERS = 60;

/** Allowed values of each field, as documented for callers. */
const ALLOWED_VALUES: Readonly<Record<keyof CallerRequest, string>> = {
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

const ISSUE_DESCRIBERS: Readonly<Partial<Record<IssueCode, IssueDescriber>>> = {
  unrecognized_keys: () =>
    `is not a field; allowed fields are ${ALLOWED_FIELD_NAMES.join(", ")}`,
};

/**
 * Parses and validates the body of `POST /v1/requests`.
 *
 * @param bytes Bytes of the body.
 * @returns The request, or the error of the first invalid field.
 */
export function parseCallerRequest(
  bytes: Buffer,
): Result<CallerRequest, InputFault> {
  return parseJson(bytes).andThen(validateRequest);
}

function parseJson(bytes: Buffer): Result<unknown, InputFault> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return ok(JSON.parse(text));
  } catch {
    return err({ message: "The body is not JSON in UTF-8." });
  }
}

function validateRequest(value: unknown): Result<CallerRequest, InputFault> {
  const parsed = callerRequestSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  if (!isJsonObject(value)) {
    return err({
      message: `The body is ${describeType(value)}; allowed is a JSON object.`,
    });
  }
  return err(toInputFault(parsed.error.issues[0], value));
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function toInputFault(issue: Issue, fields: JsonObject): InputFault {
  const path = truncate(issuePath(issue));
  const describer = ISSUE_DESCRIBERS[issue.code] ?? describeField;
  return { path, message: `Field ${path} ${describer(issue, fields)}.` };
}

function issuePath(issue: Issue): string {
  return issue.code === "unrecognized_keys"
    ? issue.keys[0]
    : issue.path.join(".");
}

function describeField(issue: Issue, fields: JsonObject): string {
  const field = String(issue.path[0]);
  const allowed = ALLOWED_VALUES[field as keyof CallerRequest];
  return Object.hasOwn(fields, field)
    ? `is ${describeValue(fields[field])}; allowed is ${allowed}`
    : `is missing; it must be ${allowed}`;
}

function describeValue(value: unknown): string {
  if (typeof value === "number") {
    return `the number ${value}`;
  }
  if (typeof value === "string") {
    return `a string of ${value.length} characters`;
  }
  return describeType(value);
}

function describeType(value: unknown): string {
  if (value === null) {
    return "null";
  }
  if (Array.isArray(value)) {
    return "an array";
  }
  return typeof value === "object" ? "an object" : `a ${typeof value}`;
}

function truncate(text: string): string {
  return text.length > MAX_QUOTED_CHARACTERS
    ? `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`
    : text;
}
