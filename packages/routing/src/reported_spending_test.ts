import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReportedSpending } from "./reported_spending.ts";

test("a holder's spending is that of its last report", () => {
  const reported = new ReportedSpending();
  reported.put("i1", [{ workspace: "a", spent: 100 }]);
  reported.put("i2", [
    { workspace: "a", spent: 20 },
    { workspace: "b", spent: 5 },
  ]);
  reported.put("i1", [{ workspace: "a", spent: 40 }]);
  assert.equal(reported.totals(), [
    { workspace: "a", spent: 60 },
    { workspace: "b", spent: 5 },
  ]);
});

test("spending that a holder no longer reports is not counted", () => {
  const reported = new ReportedSpending();
  reported.put("i1", [{ workspace: "a", spent: 100 }]);
  reported.put("i1", []);
  assert.equal(reported.totals(), []);
});

test.run();
