/**
 * The rows of the platform's table that store the settings: one head row that
 * names the version in force, and one row for each version ever committed.
 * A row that is truncated, corrupt or stored under the wrong key is rejected.
 */

import { createHash } from "node:crypto";
import { err, ok, Result } from "neverthrow";
import * as z from "zod";
import type { Row } from "@chestnuthatch/wire/platform_protocol";

/** Key of the row that names the version in force. */
export const HEAD_KEY = "settings/head";

/** Prefix of the keys of the rows that store the versions. */
export const VERSION_KEY_PREFIX = "settings/version/";

/** Digits of a version in its key; padding makes scans return version order. */
const VERSION_DIGITS = 12;

/** Highest version that fits the digits of a key. */
export const MAX_SETTINGS_VERSION = 10 ** VERSION_DIGITS - 1;

const MAX_CHANGE_ID_CHARACTERS = 128;
const MAX_AUTHOR_CHARACTERS = 200;
const MAX_NOTE_CHARACTERS = 2000;

const versionSchema = z.number().int().min(1).max(MAX_SETTINGS_VERSION);
const changeIdSchema = z.string().min(1).max(MAX_CHANGE_ID_CHARACTERS);

/** Value of the head row, which names the version in force. */
export const settingsHeadSchema = z.strictObject({
  version: versionSchema,
  changeId: changeIdSchema,
});

/** The version in force and the id of the change that created it. */
export type SettingsHead = z.infer<typeof settingsHeadSchema>;

/** Value of the row that stores one version of the settings. */
export const settingsVersionSchema = z.strictObject({
  version: versionSchema,
  changeId: changeIdSchema,
  author: z.string().max(MAX_AUTHOR_CHARACTERS),
  note: z.string().max(MAX_NOTE_CHARACTERS),
  /** SHA-256 of the content, in hexadecimal. */
  contentHash: z.string(),
  /** Settings tree, as YAML. */
  content: z.string(),
});

/** One version of the settings, with its content and its author. */
export type SettingsVersion = z.infer<typeof settingsVersionSchema>;

/** Reasons why a settings row is rejected. */
export enum RowFaultKind {
  WrongKey = "wrong_key",
  NotJson = "not_json",
  WrongShape = "wrong_shape",
  HashMismatch = "hash_mismatch",
  Missing = "missing",
}

/** Why a settings row was rejected. */
export interface RowFault {
  readonly kind: RowFaultKind;
  readonly key: string;
  readonly message: string;
}

/**
 * Builds the key of the row that stores a version.
 *
 * @param version The version, from 1.
 * @returns The key; keys sort in the order of their versions.
 */
export function versionKey(version: number): string {
  const digits = String(version).padStart(VERSION_DIGITS, "0");
  return `${VERSION_KEY_PREFIX}${digits}`;
}

/**
 * Computes the content hash that a version row stores.
 *
 * @param content Settings tree, as YAML.
 * @returns SHA-256 of the UTF-8 text, in hexadecimal.
 */
export function hashContent(content: string): string {
  return createHash("sha256").update(content, "utf8").digest("hex");
}

/**
 * Reads the head row and checks its key and shape.
 *
 * @param row The row as the table returned it.
 * @returns The version in force and its change id, or why the row is rejected.
 */
export function readHead(row: Row): Result<SettingsHead, RowFault> {
  if (row.key !== HEAD_KEY) {
    return err({
      kind: RowFaultKind.WrongKey,
      key: row.key,
      message: `not ${HEAD_KEY}`,
    });
  }
  return parseRowValue(row, settingsHeadSchema);
}

/**
 * Reads the row of a version and checks its key, shape and content hash.
 *
 * @param row The row as the table returned it.
 * @returns The version with its content, or why the row is rejected.
 */
export function readVersionRow(row: Row): Result<SettingsVersion, RowFault> {
  return parseRowValue(row, settingsVersionSchema)
    .andThen((version) => checkKey(row, version))
    .andThen((version) => checkHash(row, version));
}

function parseRowValue<T>(
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
