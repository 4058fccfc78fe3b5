import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnnouncedWaits } from "./announced_waits.ts";
import { askOf } from "./routing_test_support.ts";
import { AskCause, AskRefusal, type WorkAsk } from "./work_ask.ts";

/** Looks up asks of a holder that was told a wait of 1000 ms for rank 1. */
function afterForecast(over: Partial<WorkAsk>, nowMs = 0, coordinatorId = "c") {
  const waits = new AnnouncedWaits();
  waits.record("c", [{ pool: "p", rank: 1, waitMs: 1000 }], 0);
  const ask = askOf("a1", { rank: 1, patienceLeftMs: 600, ...over });
  return waits.refusalFor(ask, { coordinatorId, nowMs });
}

test("an ask is refused if its caller is less patient than the aged wait", () => {
  assert.equal(afterForecast({}, 300), {
    askId: "a1",
    holderId: "i1",
    refusal: AskRefusal.Overload,
    retryAfterMs: 700,
    figures: { waitMs: 1000, ageMs: 300, leftMs: 600 },
  });
  assert.is(afterForecast({}, 400), undefined);
  assert.is(afterForecast({ patienceLeftMs: 300 }, 600)?.retryAfterMs, 500);
});

// Guards against refusals by the word of a coordinator that is silent, was
// replaced, or no longer announces the wait.
test("old forecasts, and those of another coordinator, refuse nothing", () => {
  const hasty = { patienceLeftMs: 100 };
  assert.ok(afterForecast(hasty, 660));
  assert.is(afterForecast(hasty, 661), undefined);
  assert.is(afterForecast(hasty, 0, "d"), undefined);
  const waits = new AnnouncedWaits();
  waits.record("c", [{ pool: "p", rank: 0, waitMs: 9000 }], 0);
  waits.record("c", [], 220);
  const of = { coordinatorId: "c", nowMs: 220 };
  assert.is(waits.refusalFor(askOf("a1"), of), undefined);
});

test("asks that the forecast does not describe go to the coordinator", () => {
  for (
    const over of [
      { pool: "q" },
      { rank: 0 },
      { version: "v1" },
      { takesUp: true as const },
      { cause: AskCause.Repeat },
      { cause: AskCause.NeverArrived },
    ]
  ) {
    assert.is(afterForecast(over), undefined);
  }
});

test.run();
