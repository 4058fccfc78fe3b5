/**
 * The rows of the platform's table that keep the settings: one head row that
 * names the version in force, and one row for each version ever accepted.
 * A row that is torn, corrupt or under the wrong key is a fault, never taken.
 */

import { createHash } from "node:crypto";
import { err, ok, Result } from "neverthrow";
import * as z from "zod";
import type { Row } from "@chestnuthatch/wire/platform_protocol";

/** Key of the row that names the version in force. */
export const HEAD_KEY = "settings/head";

/** Start of the keys of the rows that keep the versions. */
export const VERSION_KEY_PREFIX = "settings/version/";

/** Digits of a version in its key, so that scans are in order of versions. */
const VERSION_DIGITS = 12;

/** Highest version that has a key. */
export const MAX_VERSION = 10 ** VERSION_DIGITS - 1;

const MAX_ID_CHARACTERS = 128;
const MAX_AUTHOR_CHARACTERS = 200;
const MAX_NOTE_CHARACTERS = 2000;

const versionSchema = z.number().int().min(1).max(MAX_VERSION);
const changeIdSchema = z.string().min(1).max(MAX_ID_CHARACTERS);

/** Value of the head row. */
export const settingsHeadSchema = z.strictObject({
  version: versionSchema,
  changeId: changeIdSchema,
});
export type SettingsHead = z.infer<typeof settingsHeadSchema>;

/** Value of a version's row. */
export const settingsVersionSchema = z.strictObject({
  version: versionSchema,
  changeId: changeIdSchema,
  author: z.string().max(MAX_AUTHOR_CHARACTERS),
  note: z.string().max(MAX_NOTE_CHARACTERS),
  /** SHA-256 of the content in hexadecimal. */
  contentHash: z.string(),
  /** YAML of the settings tree. */
  content: z.string(),
});
export type SettingsVersion = z.infer<typeof settingsVersionSchema>;

/** Why a row is not taken. */
export enum RowFaultKind {
  WrongKey = "wrong_key",
  NotJson = "not_json",
  WrongShape = "wrong_shape",
  HashMismatch = "hash_mismatch",
  Missing = "missing",
}

/** A row that is not taken. */
export interface RowFault {
  readonly kind: RowFaultKind;
  readonly key: string;
  readonly message: string;
}

/**
 * Builds the key of a version's row.
 *
 * @param version The version, from 1.
 * @returns The key; keys sort as versions do.
 */
export function versionKey(version: number): string {
  const digits = String(version).padStart(VERSION_DIGITS, "0");
  return `${VERSION_KEY_PREFIX}${digits}`;
}

/**
 * Hashes a content as version rows carry it.
 *
 * @param content YAML of the settings.
 * @returns SHA-256 in hexadecimal.
 */
export function hashContent(content: string): string {
  return createHash("sha256").update(content, "utf8").digest("hex");
}

/**
 * Reads the head row.
 *
 * @param row The row as the table gave it.
 * @returns The version in force and the change that set it.
 */
export function readHead(row: Row): Result<SettingsHead, RowFault> {
  if (row.key !== HEAD_KEY) {
    return err({
      kind: RowFaultKind.WrongKey,
      key: row.key,
      message: `not ${HEAD_KEY}`,
    });
  }
  return parseValue(row, settingsHeadSchema);
}

/**
 * Reads a version's row.
 *
 * @param row The row as the table gave it.
 * @returns The version with its content.
 */
export function readVersionRow(row: Row): Result<SettingsVersion, RowFault> {
  return parseValue(row, settingsVersionSchema)
    .andThen((version) => checkKey(row, version))
    .andThen((version) => checkHash(row, version));
}

function parseValue<T>(
  row: Row,
  schema: z.ZodType<T>,
): Result<T, RowFault> {
  const parse = Result.fromThrowable(
    () => JSON.parse(row.value) as unknown,
    () => ({
      kind: RowFaultKind.NotJson,
      key: row.key,
      message: "the value is not JSON",
    }),
  );
  return parse().andThen((value) => {
    const parsed = schema.safeParse(value);
    if (parsed.success) return ok(parsed.data);
    const message = z.prettifyError(parsed.error);
    return err({ kind: RowFaultKind.WrongShape, key: row.key, message });
  });
}

function checkKey(
  row: Row,
  version: SettingsVersion,
): Result<SettingsVersion, RowFault> {
  if (row.key === versionKey(version.version)) return ok(version);
  const message = `the row holds version ${version.version}`;
  return err({ kind: RowFaultKind.WrongKey, key: row.key, message });
}

function checkHash(
  row: Row,
  version: SettingsVersion,
): Result<SettingsVersion, RowFault> {
  if (hashContent(version.content) === version.contentHash) return ok(version);
  const message = "the content does not match its hash";
  return err({ kind: RowFaultKind.HashMismatch, key: row.key, message });
}
