/**
 * The shape of the settings tree as operators write it. Every message of this
 * schema says what is allowed at that place; `schema_faults.ts` builds the
 * faults from them.
 */

import * as z from "zod";
import { TargetKind } from "@chestnuthatch/wire/work";
import type { TierPolicy, TimingSettings } from "./policy.ts";
import {
  describeAllowed,
  type FieldSpec,
  FieldType,
  type NumberField,
  POLICY_FIELDS,
  type PolicyField,
  TIMING_FIELDS,
} from "./policy_fields.ts";

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const INSTANCE_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const ADDRESS_PATTERN = /^([A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})$/;
const MAX_PORT = 65_535;
const MAX_LABEL_CHARACTERS = 128;
const MAX_RANK = 99;
const DEFAULT_CALL_MS = 200;
const DEFAULT_HARDWARE = "standard";

/** What a name of a region, domain, tier, workspace, pool or target may be. */
export const NAME_RULE =
  "1 to 63 lower-case letters, digits and hyphens, no hyphen at either end";

/** Prefix of the message that lists the fields of a map. */
export const KNOWN_FIELDS_PREFIX = "one of the fields ";

const nameSchema = z.string({ error: NAME_RULE })
  .regex(NAME_PATTERN, { error: NAME_RULE });
const instanceIdSchema = patternText(
  INSTANCE_ID_PATTERN,
  "1 to 128 letters, digits, dots, colons, underscores and hyphens",
);
const labelSchema = z.string({ error: "a text" })
  .max(MAX_LABEL_CHARACTERS, {
    error: `a text of at most ${MAX_LABEL_CHARACTERS} characters`,
  });
const flagSchema = z.boolean({ error: FieldType.Flag });
const addressRule = "host:port with a port from 1 to 65535";
const addressSchema = z.string({ error: addressRule })
  .refine(isAddress, { error: addressRule });

const overridesShape = policyShape();
const tierOverridesSchema = closedMap(overridesShape);
const tierRefinementsSchema = mapOf(tierOverridesSchema);

const workspaceSchema = closedMap({
  ...overridesShape,
  tiers: tierRefinementsSchema,
});

const regionSchema = closedMap({
  ...overridesShape,
  failureDomains: z.array(nameSchema, { error: "a list of failure domains" })
    .min(1, { error: "a list of at least one failure domain" }),
  tiers: tierRefinementsSchema,
  workspaces: mapOf(workspaceSchema),
});

const tierSchema = closedMap({
  ...overridesShape,
  rank: wholeFrom(0, MAX_RANK),
});

const poolSchema = closedMap({
  kind: z.enum(TargetKind, {
    error: Object.values(TargetKind).join(" or "),
  }),
  model: labelSchema.default(""),
  contextTokens: wholeFrom(0, 10_000_000).default(0),
  idempotentByDefault: flagSchema.default(false),
});

const targetSchema = closedMap({
  pool: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
  slots: wholeFrom(1, 4096),
  kvTokens: wholeFrom(0, 100_000_000).default(0),
  hardware: labelSchema.default(DEFAULT_HARDWARE),
  checksFencing: flagSchema.default(false),
  prefillTokensPerSecond: decimalFrom(0, 10_000_000).default(0),
  decodeTokensPerSecond: decimalFrom(0, 1_000_000).default(0),
  callMs: decimalFrom(1, 3_600_000).default(DEFAULT_CALL_MS),
  draining: flagSchema.default(false),
});

/** Schema of the whole tree. */
export const settingsTreeSchema = closedMap({
  fleet: closedMap({ ...overridesShape, timing: closedMap(timingShape()) }),
  regions: mapOf(regionSchema),
  tiers: mapOf(tierSchema),
  workspaces: mapOf(workspaceSchema),
  pools: mapOf(poolSchema),
  targets: mapOf(targetSchema),
  drainingInstances: z.preprocess(
    (value) => value ?? [],
    z.array(instanceIdSchema, { error: "a list of instance ids" }),
  ).prefault([]),
});

/** The settings as operators write them, checked. */
export type SettingsTree = z.infer<typeof settingsTreeSchema>;

/** What one level of the tree sets. */
export type PolicyOverrides = { readonly [K in PolicyField]?: TierPolicy[K] };

/** A map with a fixed set of fields; one written with no value is empty. */
function closedMap<S extends z.ZodRawShape>(shape: S) {
  const fields = Object.keys(shape).join(", ");
  const schema = z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? `${KNOWN_FIELDS_PREFIX}${fields}`
        : `a map with the fields ${fields}`,
  });
  return z.preprocess(emptyIfNull, schema).prefault({} as never);
}

/** A map from names to one kind of value; absent counts as empty. */
function mapOf<S extends z.ZodType>(valueSchema: S) {
  const schema = z.record(nameSchema, valueSchema, {
    error: "a map from names to values",
  });
  return z.preprocess(emptyIfNull, schema).prefault({} as never);
}

function emptyIfNull(value: unknown): unknown {
  return value ?? {};
}

function policyShape() {
  const entries = Object.entries(POLICY_FIELDS)
    .map(([name, field]) => [name, fieldSchema(field).optional()]);
  return Object.fromEntries(entries) as {
    [K in PolicyField]: z.ZodOptional<z.ZodType<TierPolicy[K]>>;
  };
}

function timingShape() {
  const entries = Object.entries(TIMING_FIELDS)
    .map(([name, field]) => [
      name,
      numberSchema(field).default(field.initial),
    ]);
  return Object.fromEntries(entries) as {
    [K in keyof TimingSettings]: z.ZodDefault<z.ZodNumber>;
  };
}

function fieldSchema(field: FieldSpec): z.ZodType {
  return field.type === FieldType.Flag ? flagSchema : numberSchema(field);
}

function numberSchema(field: Omit<NumberField, "initial">): z.ZodNumber {
  const error = describeAllowed(field);
  const schema = z.number({ error })
    .min(field.min, { error })
    .max(field.max, { error });
  return field.type === FieldType.Whole ? schema.int({ error }) : schema;
}

function wholeFrom(min: number, max: number): z.ZodNumber {
  return numberSchema({ type: FieldType.Whole, unit: "", min, max });
}

function decimalFrom(min: number, max: number): z.ZodNumber {
  return numberSchema({ type: FieldType.Decimal, unit: "", min, max });
}

function patternText(pattern: RegExp, error: string): z.ZodString {
  return z.string({ error }).regex(pattern, { error });
}

function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[2] ?? 0);
  return port >= 1 && port <= MAX_PORT;
}
