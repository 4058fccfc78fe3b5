/**
 * Type, unit, default and range of every policy field and timing field. The
 * schema, the defaults and the checks are derived from these tables.
 */

import type { TierPolicy, TimingSettings } from "./settings_types.ts";

/** Fields of a {@link TierPolicy} that a level of the tree may set. */
export type PolicyField = Exclude<keyof TierPolicy, "tier" | "rank">;

/** Fields of a {@link TimingSettings}. */
export type TimingField = keyof TimingSettings;

/** Value types of a field, with the texts that faults show. */
export enum FieldType {
  Whole = "whole number",
  Decimal = "number",
  Flag = "true or false",
}

/** Unit, range and default of a numeric field. */
export interface NumberField {
  readonly type: FieldType.Whole | FieldType.Decimal;
  readonly unit: string;
  /** Smallest value allowed. */
  readonly min: number;
  /** Largest value allowed. */
  readonly max: number;
  /** Default where no level of the tree sets the field. */
  readonly initial: number;
}

/** Default of a boolean field. */
export interface FlagField {
  readonly type: FieldType.Flag;
  /** Default where no level of the tree sets the field. */
  readonly initial: boolean;
}

/** Type, default and range of one field of the settings tree. */
export type FieldSpec = NumberField | FlagField;

const MAX_TOKENS = 1_000_000;
const HOUR_MS = 3_600_000;

/** Every field that a level of the tree may set, in the order of `explain`. */
export const POLICY_FIELDS: Readonly<Record<PolicyField, FieldSpec>> = {
  value: decimalField("worth", { min: 0, max: 1_000_000, initial: 1 }),
  deadlineMs: wholeNumberField("ms", {
    min: 100,
    max: HOUR_MS,
    initial: 30_000,
  }),
  maxDeadlineMs: wholeNumberField("ms", {
    min: 100,
    max: HOUR_MS,
    initial: 300_000,
  }),
  maxOutputTokens: wholeNumberField("tokens", {
    min: 1,
    max: MAX_TOKENS,
    initial: 1024,
  }),
  expectedOutputTokens: wholeNumberField("tokens", {
    min: 1,
    max: MAX_TOKENS,
    initial: 256,
  }),
  headroomShare: decimalField("share", { min: 0, max: 0.9, initial: 0 }),
  fairShareWeight: decimalField("weight", { min: 0.01, max: 1000, initial: 1 }),
  maxRequestsPerSecond: decimalField("requests/s", {
    min: 0.1,
    max: 100_000,
    initial: 100,
  }),
  maxOpenRequests: wholeNumberField("requests", {
    min: 1,
    max: 100_000,
    initial: 1000,
  }),
  claimWaitMs: wholeNumberField("ms", { min: 0, max: 60_000, initial: 1000 }),
  retryAfterMs: wholeNumberField("ms", {
    min: 10,
    max: 600_000,
    initial: 1000,
  }),
  preemptible: { type: FieldType.Flag, initial: true },
};

/** Every field of `fleet.timing`, in milliseconds. */
export const TIMING_FIELDS: Readonly<Record<TimingField, NumberField>> = {
  heartbeatMs: wholeNumberField("ms", { min: 50, max: 10_000, initial: 500 }),
  memberTimeoutMs: wholeNumberField("ms", {
    min: 200,
    max: 60_000,
    initial: 2500,
  }),
  askTimeoutMs: wholeNumberField("ms", { min: 10, max: 5000, initial: 150 }),
  grantLifetimeMs: wholeNumberField("ms", {
    min: 200,
    max: 2000,
    initial: 1500,
  }),
  askExpiryMs: wholeNumberField("ms", { min: 500, max: 60_000, initial: 3000 }),
  holderReportMs: wholeNumberField("ms", {
    min: 100,
    max: 10_000,
    initial: 1000,
  }),
  loadPollMs: wholeNumberField("ms", { min: 50, max: 10_000, initial: 500 }),
  settingsPollMs: wholeNumberField("ms", {
    min: 100,
    max: 5000,
    initial: 1500,
  }),
  listPollMs: wholeNumberField("ms", { min: 100, max: 5000, initial: 1000 }),
};

/** Names of the policy fields, in the order of `explain`. */
export const POLICY_FIELD_NAMES = Object.keys(POLICY_FIELDS) as PolicyField[];

/**
 * Renders the values that a field allows.
 *
 * @param field Type, unit and range of the field.
 * @returns A phrase such as `a whole number from 1 to 8 ms`.
 */
export function describeAllowedValues(
  field: FlagField | Omit<NumberField, "initial">,
): string {
  if (field.type === FieldType.Flag) return field.type;
  return `a ${field.type} from ${field.min} to ${field.max} ${field.unit}`
    .trim();
}

type NumberRange = Pick<NumberField, "min" | "max" | "initial">;

function wholeNumberField(unit: string, range: NumberRange): NumberField {
  return { type: FieldType.Whole, unit, ...range };
}

function decimalField(unit: string, range: NumberRange): NumberField {
  return { type: FieldType.Decimal, unit, ...range };
}
