/** An instance's own start settings: one small YAML file, checked whole. */

import { err, ok, type Result } from "neverthrow";
import { parseDocument } from "yaml";
import * as z from "zod";
import { LogLevel } from "@chestnuthatch/core/effects";
import { LogFormat } from "./logger.ts";

/** Where trace spans go. */
export enum TraceExport {
  Off = "off",
  Console = "console",
}

const nameSchema = z.string().min(1).max(100);
const portSchema = z.number().int().min(0).max(65_535);
const addressSchema = z.string().regex(/^[^\s:]+:\d+$/, "host:port");
const listenSchema = z.strictObject({ host: z.string(), port: portSchema });

const MIN_SECRET_LENGTH = 16;

const startSettingsSchema = z.strictObject({
  instanceId: nameSchema,
  failureDomain: nameSchema,
  region: nameSchema,
  /** Where callers connect. */
  callers: listenSchema,
  /** Where other instances connect. */
  peers: listenSchema.extend({
    /** Shared by every instance of the fleet. */
    secret: z.string().min(MIN_SECRET_LENGTH),
    /** Instances to reach before the platform's list is known. */
    seeds: z.array(z.strictObject({
      instanceId: nameSchema,
      failureDomain: nameSchema,
      address: addressSchema,
    })).default([]),
  }),
  platform: z.strictObject({
    address: addressSchema,
    /** This instance's share of the table's writes and reads. */
    maxWritesPerSecond: z.number().positive().default(40),
    maxReadsPerSecond: z.number().positive().default(200),
    timeoutMs: z.number().positive().default(1000),
  }),
  limits: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(4 * 1024 * 1024),
    maxHeaderBytes: z.number().int().positive().default(16 * 1024),
    maxOpenRequests: z.number().int().positive().default(2000),
    slowCallerMs: z.number().positive().default(10_000),
    maxStreamBufferBytes: z.number().int().positive().default(1024 * 1024),
    /** Dispatches of one pool that are being connected and sent at a time. */
    maxDispatchesPerPool: z.number().int().positive().default(64),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info),
    format: z.enum(LogFormat).default(LogFormat.Text),
  }).prefault({}),
  traces: z.strictObject({
    export: z.enum(TraceExport).default(TraceExport.Off),
  }).prefault({}),
  /** Longest time a graceful shutdown waits for requests in progress. */
  shutdownGraceMs: z.number().positive().default(120_000),
});

/** An instance's start settings, defaults filled in. */
export type StartSettings = z.infer<typeof startSettingsSchema>;

/** What one may write in the file. */
export type StartSettingsInput = z.input<typeof startSettingsSchema>;

/**
 * Reads start settings from YAML.
 *
 * @param yamlText Content of the file.
 * @returns The settings, or every fault with its path.
 */
export function readStartSettings(
  yamlText: string,
): Result<StartSettings, string[]> {
  const document = parseDocument(yamlText, { prettyErrors: true });
  if (document.errors.length > 0) {
    return err(document.errors.map((fault) => fault.message));
  }
  return checkStartSettings(document.toJS());
}

/**
 * Checks start settings that were not read from a file.
 *
 * @param value What should be start settings.
 * @returns The settings, or every fault with its path.
 */
export function checkStartSettings(
  value: unknown,
): Result<StartSettings, string[]> {
  const parsed = startSettingsSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(
    parsed.error.issues.map((issue) =>
      `${issue.path.join(".") || "start settings"}: ${issue.message}`
    ),
  );
}
