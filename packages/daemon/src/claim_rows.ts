/** Parsing of the claim rows in the platform's table, and their holder. */

import { ClaimOutcome, type ClaimRow } from "@chestnuthatch/core/events";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import * as z from "zod";
import { parseJson } from "./ndjson_reader.ts";

const claimRowSchema: z.ZodType<ClaimRow> = z.strictObject({
  nonce: z.string(),
  holderId: z.string(),
  holderIncarnation: z.number().int().nonnegative(),
  requestId: z.string(),
  contentHash: z.string(),
});

/** Outcome of writing or reading back a claim. */
export interface ClaimStatus {
  readonly outcome: ClaimOutcome;
  /** Row of the other holder; absent if the claim is held or it is corrupt. */
  readonly found?: ClaimRow;
}

/**
 * Parses a claim row.
 *
 * @param row Row read from the table.
 * @returns The claim, or undefined if the row is corrupt.
 */
export function readClaimRow(row: Row): ClaimRow | undefined {
  const json = parseJson(row.value).unwrapOr(undefined);
  return claimRowSchema.safeParse(json).data;
}

/**
 * Determines the status of a claim from the row found under its key. A corrupt
 * row was not written for this claim, so it counts as held elsewhere.
 *
 * @param claim Claim as it was written.
 * @param row Row found under the key of the claim.
 * @returns Held, or HeldElsewhere with the row found if it is valid.
 */
export function claimStatus(claim: ClaimRow, row: Row): ClaimStatus {
  const found = readClaimRow(row);
  return found?.nonce === claim.nonce
    ? { outcome: ClaimOutcome.Held }
    : { outcome: ClaimOutcome.HeldElsewhere, found };
}
