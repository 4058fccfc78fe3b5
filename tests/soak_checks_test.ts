/** Tests of what the soak reports without regard to a call. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { isErrorLine } from "@chestnuthatch/platform/error_lines";
import { findBrokenPromises } from "./soak_checks.ts";
import type { SoakInstance } from "./soak_instance.ts";

const LINES = [
  '{"message":"unexpected error","reason":"Error: broken part"}',
  '{"message":"internal error","requestId":"call"}',
  '{"message":"stopping failed","reason":"Error: broken part"}',
  '{"message":"answered","requestId":"unexpected error"}',
];

// Guards against errors in an instance that no check of the soak sees.
test("each line of an unexpected error is a broken promise", () => {
  const errorLines = LINES.filter(isErrorLine);
  const instance = { id: "entry-0", ends: [], errorLines };
  const broken = findBrokenPromises({
    records: [],
    targets: [],
    instances: [instance as unknown as SoakInstance],
    minimums: { idleTimeoutMs: 150, idleReducedAtMs: 0, timeoutShare: 1 },
  });
  assert.equal(broken.map(({ detail }) => detail), LINES.slice(0, 3));
});

test.run();
