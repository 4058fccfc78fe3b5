/** What a claim row of the platform's table holds, and whose it is. */

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

/** How a claim stands; {@link found} is the row of another holder. */
export interface ClaimStanding {
  readonly outcome: ClaimOutcome;
  readonly found?: ClaimRow;
}

/**
 * Reads a claim row.
 *
 * @param row The row as the table gave it.
 * @returns The claim, or nothing when the row is corrupt.
 */
export function readClaimRow(row: Row): ClaimRow | undefined {
  const json = parseJson(row.value).unwrapOr(undefined);
  return claimRowSchema.safeParse(json).data;
}

/**
 * Judges a claim by the row found under its key. A corrupt row was not written
 * by this claim, so it counts as another's.
 *
 * @param claim The claim as written.
 * @param row The row found.
 * @returns Held, or HeldElsewhere with the row where it can be read.
 */
export function standingOf(claim: ClaimRow, row: Row): ClaimStanding {
  const found = readClaimRow(row);
  return found?.nonce === claim.nonce
    ? { outcome: ClaimOutcome.Held }
    : { outcome: ClaimOutcome.HeldElsewhere, found };
}
