/**
 * One table of every policy field and timing field: unit, default and range.
 * The schema, the defaults and the checks all follow from it.
 */

import type { TierPolicy, TimingSettings } from "./policy.ts";

/** Fields of a {@link TierPolicy} that a level of the tree may set. */
export type PolicyField = Exclude<keyof TierPolicy, "tier" | "rank">;

/** Fields of a {@link TimingSettings}. */
export type TimingField = keyof TimingSettings;

/** What a field holds. */
export enum FieldType {
  Whole = "whole number",
  Decimal = "number",
  Flag = "true or false",
}

/** A field that holds a number. */
export interface NumberField {
  readonly type: FieldType.Whole | FieldType.Decimal;
  readonly unit: string;
  readonly min: number;
  readonly max: number;
  readonly initial: number;
}

/** A field that holds true or false. */
export interface FlagField {
  readonly type: FieldType.Flag;
  readonly initial: boolean;
}

/** Description of one field. */
export type FieldSpec = NumberField | FlagField;

const MAX_TOKENS = 1_000_000;
const HOUR_MS = 3_600_000;

/** Every field that a level of the tree may set, in the order of `explain`. */
export const POLICY_FIELDS: Readonly<Record<PolicyField, FieldSpec>> = {
  value: decimal("worth", { min: 0, max: 1_000_000, initial: 1 }),
  deadlineMs: whole("ms", { min: 100, max: HOUR_MS, initial: 30_000 }),
  maxDeadlineMs: whole("ms", { min: 100, max: HOUR_MS, initial: 300_000 }),
  maxOutputTokens: whole("tokens", { min: 1, max: MAX_TOKENS, initial: 1024 }),
  expectedOutputTokens: whole("tokens", {
    min: 1,
    max: MAX_TOKENS,
    initial: 256,
  }),
  headroomShare: decimal("share", { min: 0, max: 0.9, initial: 0 }),
  fairShareWeight: decimal("weight", { min: 0.01, max: 1000, initial: 1 }),
  maxRequestsPerSecond: decimal("requests/s", {
    min: 0.1,
    max: 100_000,
    initial: 100,
  }),
  maxOpenRequests: whole("requests", { min: 1, max: 100_000, initial: 1000 }),
  claimWaitMs: whole("ms", { min: 0, max: 60_000, initial: 1000 }),
  retryAfterMs: whole("ms", { min: 10, max: 600_000, initial: 1000 }),
  preemptible: { type: FieldType.Flag, initial: true },
};

/** Every field of `fleet.timing`. */
export const TIMING_FIELDS: Readonly<Record<TimingField, NumberField>> = {
  heartbeatMs: whole("ms", { min: 50, max: 10_000, initial: 500 }),
  memberTimeoutMs: whole("ms", { min: 200, max: 60_000, initial: 2500 }),
  askTimeoutMs: whole("ms", { min: 10, max: 5000, initial: 150 }),
  grantLifetimeMs: whole("ms", { min: 200, max: 2000, initial: 1500 }),
  askExpiryMs: whole("ms", { min: 500, max: 60_000, initial: 3000 }),
  holderReportMs: whole("ms", { min: 100, max: 10_000, initial: 1000 }),
  loadPollMs: whole("ms", { min: 50, max: 10_000, initial: 500 }),
  settingsPollMs: whole("ms", { min: 100, max: 5000, initial: 1500 }),
  listPollMs: whole("ms", { min: 100, max: 5000, initial: 1000 }),
};

/** Names of the policy fields. */
export const POLICY_FIELD_NAMES = Object.keys(POLICY_FIELDS) as PolicyField[];

/**
 * Says in words what a field may hold.
 *
 * @param field The field's description.
 * @returns A phrase such as `a whole number from 1 to 8 ms`.
 */
export function describeAllowed(
  field: FlagField | Omit<NumberField, "initial">,
): string {
  if (field.type === FieldType.Flag) return field.type;
  return `a ${field.type} from ${field.min} to ${field.max} ${field.unit}`
    .trim();
}

type Range = Pick<NumberField, "min" | "max" | "initial">;

function whole(unit: string, range: Range): NumberField {
  return { type: FieldType.Whole, unit, ...range };
}

function decimal(unit: string, range: Range): NumberField {
  return { type: FieldType.Decimal, unit, ...range };
}
