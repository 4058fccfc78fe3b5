/** Start settings of an instance: schema, and parsing of their YAML file. */

import { err, ok, type Result } from "neverthrow";
import { parseDocument } from "yaml";
import * as z from "zod";
import { LogLevel } from "@chestnuthatch/core/effects";
import { LogFormat } from "./logger.ts";

/** Destination of trace spans. */
export enum TraceExport {
  Off = "off",
  Console = "console",
}

const nameSchema = z.string().min(1).max(100);
const portSchema = z.number().int().min(0).max(65_535);
const addressSchema = z.string().regex(/^[^\s:]+:\d+$/, "host:port");
const listenSchema = z.strictObject({ host: z.string(), port: portSchema });

const MIN_SECRET_CHARACTERS = 16;

const startSettingsSchema = z.strictObject({
  instanceId: nameSchema,
  failureDomain: nameSchema,
  region: nameSchema,
  /** Address on which callers connect. */
  callers: listenSchema,
  /** Address on which other instances connect. */
  peers: listenSchema.extend({
    /** Secret shared by all instances of the fleet. */
    secret: z.string().min(MIN_SECRET_CHARACTERS),
    /** Instances to connect to before the platform's list is known. */
    seeds: z.array(z.strictObject({
      instanceId: nameSchema,
      failureDomain: nameSchema,
      address: addressSchema,
    })).default([]),
  }),
  platform: z.strictObject({
    address: addressSchema,
    /** This instance's share of the platform's write rate. */
    maxWritesPerSecond: z.number().positive().default(40),
    /** This instance's share of the platform's read rate. */
    maxReadsPerSecond: z.number().positive().default(200),
    timeoutMs: z.number().positive().default(1000),
  }),
  limits: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(4 * 1024 * 1024),
    maxHeaderBytes: z.number().int().positive().default(16 * 1024),
    maxOpenRequests: z.number().int().positive().default(2000),
    slowCallerMs: z.number().positive().default(10_000),
    maxStreamBufferBytes: z.number().int().positive().default(1024 * 1024),
    /** Dispatches of one pool that may be connecting or sending at a time. */
    maxDispatchesPerPool: z.number().int().positive().default(64),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info),
    format: z.enum(LogFormat).default(LogFormat.Text),
  }).prefault({}),
  traces: z.strictObject({
    export: z.enum(TraceExport).default(TraceExport.Off),
  }).prefault({}),
  /** Time for which a graceful shutdown waits for requests in progress. */
  shutdownGraceMs: z.number().positive().default(120_000),
});

/** Validated start settings, with defaults applied. */
export type StartSettings = z.infer<typeof startSettingsSchema>;

/** Start settings before validation, in which defaults may be omitted. */
export type StartSettingsInput = z.input<typeof startSettingsSchema>;

/**
 * Parses start settings from YAML and validates them.
 *
 * @param yamlText Content of the settings file.
 * @returns The settings, or a message for each fault.
 */
export function parseStartSettings(
  yamlText: string,
): Result<StartSettings, string[]> {
  const document = parseDocument(yamlText, { prettyErrors: true });
  if (document.errors.length > 0) {
    return err(document.errors.map((fault) => fault.message));
  }
  return validateStartSettings(document.toJS());
}

/**
 * Validates start settings that do not come from a file.
 *
 * @param value Settings to validate, of any type.
 * @returns The settings, or a message for each fault, with the setting's path.
 */
export function validateStartSettings(
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
