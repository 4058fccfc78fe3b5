/** Tests that the soak's check of repeats finds too many of them. */

import { DESK_POOL } from "@chestnuthatch/platform/standin_fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CALL_KINDS, type CallRecord } from "./soak_callers.ts";
import type { SoakTarget } from "./soak_fleet.ts";
import { planSoak, type SoakPlan } from "./soak_plan.ts";
import { findExcessRepeats } from "./soak_repeats.ts";

const PLAN: SoakPlan = { ...planSoak(1, { lengthMs: 1000 }), faults: [] };
const REQUESTS = 50;
const STATUS_KIND = CALL_KINDS[3]!;

/** Targets that got each request once, and the first one again. */
function targetsWith(repeats: number): SoakTarget[] {
  const firsts = Array.from({ length: REQUESTS }, (_, id) => ({
    requestId: `r${id}`,
    atMs: id,
  }));
  const again = Array.from({ length: repeats }, (_, index) => ({
    requestId: "r0",
    atMs: 100 + index,
  }));
  const target = { receivedRequests: [...firsts, ...again] };
  return [{ target, pool: DESK_POOL } as unknown as SoakTarget];
}

test("more repeats than the ratio and the slack allow are reported", () => {
  const records = Array.from(
    { length: REQUESTS },
    (_, id) => ({ kind: STATUS_KIND, startedAtMs: id }) as CallRecord,
  );
  const findWith = (repeats: number) =>
    findExcessRepeats(PLAN, { records, targets: targetsWith(repeats) });
  assert.equal(findWith(110), []);
  assert.equal(findWith(111).map(({ detail }) => detail), [
    "desks: 111 repeats, 110 allowed",
  ]);
});

test.run();
