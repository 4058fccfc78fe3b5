/**
 * The schema of the settings tree as operators write it. Each error message of
 * the schema states what is allowed at that path; `schema_faults.ts` builds the
 * faults from these messages.
 */

import * as z from "zod";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { TierPolicy, TimingSettings } from "./settings_types.ts";
import {
  describeAllowedValues,
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

/**
 * Rule for names of regions, failure domains, tiers, workspaces, pools and
 * targets, as shown to operators.
 */
export const NAME_RULE =
  "1 to 63 lower-case letters, digits and hyphens, no hyphen at either end";

/** Prefix of the error message that lists the known fields of a map. */
export const KNOWN_FIELDS_PREFIX = "one of the fields ";

const nameSchema = z.string({ error: NAME_RULE })
  .regex(NAME_PATTERN, { error: NAME_RULE });
const instanceIdSchema = patternSchema(
  INSTANCE_ID_PATTERN,
  "1 to 128 letters, digits, dots, colons, underscores and hyphens",
);
const labelSchema = z.string({ error: "a text" })
  .max(MAX_LABEL_CHARACTERS, {
    error: `a text of at most ${MAX_LABEL_CHARACTERS} characters`,
  });
const flagSchema = z.boolean({ error: FieldType.Flag });
const ADDRESS_RULE = "host:port with a port from 1 to 65535";
const addressSchema = z.string({ error: ADDRESS_RULE })
  .refine(isAddress, { error: ADDRESS_RULE });

const policyOverridesShape = policyFieldsShape();
const tierOverridesSchema = strictMapSchema(policyOverridesShape);
const tierOverridesByNameSchema = nameMapSchema(tierOverridesSchema);

const workspaceSchema = strictMapSchema({
  ...policyOverridesShape,
  tiers: tierOverridesByNameSchema,
});

const regionSchema = strictMapSchema({
  ...policyOverridesShape,
  failureDomains: z.array(nameSchema, { error: "a list of failure domains" })
    .min(1, { error: "a list of at least one failure domain" }),
  tiers: tierOverridesByNameSchema,
  workspaces: nameMapSchema(workspaceSchema),
});

const tierSchema = strictMapSchema({
  ...policyOverridesShape,
  rank: wholeNumberSchema(0, MAX_RANK),
});

const poolSchema = strictMapSchema({
  kind: z.enum(TargetKind, {
    error: Object.values(TargetKind).join(" or "),
  }),
  model: labelSchema.default(""),
  contextTokens: wholeNumberSchema(0, 10_000_000).default(0),
  idempotentByDefault: flagSchema.default(false),
});

const targetSchema = strictMapSchema({
  pool: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
  slots: wholeNumberSchema(1, 4096),
  kvTokens: wholeNumberSchema(0, 100_000_000).default(0),
  hardware: labelSchema.default(DEFAULT_HARDWARE),
  checksFencing: flagSchema.default(false),
  prefillTokensPerSecond: decimalNumberSchema(0, 10_000_000).default(0),
  decodeTokensPerSecond: decimalNumberSchema(0, 1_000_000).default(0),
  callMs: decimalNumberSchema(1, 3_600_000).default(DEFAULT_CALL_MS),
  draining: flagSchema.default(false),
});

/** Schema of the whole settings tree. */
export const settingsTreeSchema = strictMapSchema({
  fleet: strictMapSchema({
    ...policyOverridesShape,
    timing: strictMapSchema(timingFieldsShape()),
  }),
  regions: nameMapSchema(regionSchema),
  tiers: nameMapSchema(tierSchema),
  workspaces: nameMapSchema(workspaceSchema),
  pools: nameMapSchema(poolSchema),
  targets: nameMapSchema(targetSchema),
  drainingInstances: z.preprocess(
    (value) => value ?? [],
    z.array(instanceIdSchema, { error: "a list of instance ids" }),
  ).prefault([]),
});

/** A settings tree that passed the schema, with defaults filled in. */
export type SettingsTree = z.infer<typeof settingsTreeSchema>;

/** Policy fields that one level of the settings tree sets. */
export type PolicyOverrides = { readonly [K in PolicyField]?: TierPolicy[K] };

/** A map with a fixed set of fields; null or absent counts as empty. */
function strictMapSchema<S extends z.ZodRawShape>(shape: S) {
  const fields = Object.keys(shape).join(", ");
  const schema = z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? `${KNOWN_FIELDS_PREFIX}${fields}`
        : `a map with the fields ${fields}`,
  });
  return z.preprocess(emptyIfNull, schema).prefault({} as never);
}

/** A map from names to values of one schema; null or absent counts as empty. */
function nameMapSchema<S extends z.ZodType>(valueSchema: S) {
  const schema = z.record(nameSchema, valueSchema, {
    error: "a map from names to values",
  });
  return z.preprocess(emptyIfNull, schema).prefault({} as never);
}

function emptyIfNull(value: unknown): unknown {
  return value ?? {};
}

function policyFieldsShape() {
  const entries = Object.entries(POLICY_FIELDS)
    .map(([name, field]) => [name, fieldSchema(field).optional()]);
  return Object.fromEntries(entries) as {
    [K in PolicyField]: z.ZodOptional<z.ZodType<TierPolicy[K]>>;
  };
}

function timingFieldsShape() {
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
  const error = describeAllowedValues(field);
  const schema = z.number({ error })
    .min(field.min, { error })
    .max(field.max, { error });
  return field.type === FieldType.Whole ? schema.int({ error }) : schema;
}

function wholeNumberSchema(min: number, max: number): z.ZodNumber {
  return numberSchema({ type: FieldType.Whole, unit: "", min, max });
}

function decimalNumberSchema(min: number, max: number): z.ZodNumber {
  return numberSchema({ type: FieldType.Decimal, unit: "", min, max });
}

function patternSchema(pattern: RegExp, error: string): z.ZodString {
  return z.string({ error }).regex(pattern, { error });
}

function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[2] ?? 0);
  return port >= 1 && port <= MAX_PORT;
}
