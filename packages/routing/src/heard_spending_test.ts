import { test } from "uvu";
import * as assert from "uvu/assert";
import { HeardSpending } from "./heard_spending.ts";

test("a holder's spending is that of its last report", () => {
  const heard = new HeardSpending();
  heard.put("i1", [{ workspace: "a", spent: 100 }]);
  heard.put("i2", [
    { workspace: "a", spent: 20 },
    { workspace: "b", spent: 5 },
  ]);
  heard.put("i1", [{ workspace: "a", spent: 40 }]);
  assert.equal(heard.totals(), [
    { workspace: "a", spent: 60 },
    { workspace: "b", spent: 5 },
  ]);
});

test("what a holder no longer tells of is no longer counted", () => {
  const heard = new HeardSpending();
  heard.put("i1", [{ workspace: "a", spent: 100 }]);
  heard.put("i1", []);
  assert.equal(heard.totals(), []);
});

test.run();
