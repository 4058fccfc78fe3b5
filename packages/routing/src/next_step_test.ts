import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "./fleet_configuration.ts";
import { AttemptEnd, NextStep, nextStep } from "./next_step.ts";

const ENDS = Object.values(AttemptEnd);

function stepsOf(kind: RequestKind, runs: number): Record<string, NextStep> {
  return Object.fromEntries(ENDS.map((end) => [
    end,
    nextStep({ kind, end, runs, maxAttempts: 2, rejections: 0 }),
  ]));
}

for (const kind of [RequestKind.AtMostOnce, RequestKind.Stream]) {
  test(`${kind}: once a target may have run it, it never runs again`, () => {
    assert.equal(stepsOf(kind, 1), {
      not_sent: NextStep.AskAgain,
      rejected: NextStep.AskAgain,
      failed: NextStep.PassOn,
      empty: NextStep.PassOn,
      lost: NextStep.FailMayHaveRun,
      target_ended: NextStep.FailMayHaveRun,
    });
  });
}

for (const kind of [RequestKind.Repeatable, RequestKind.ResumableStream]) {
  test(`${kind}: it runs again while attempts are left`, () => {
    assert.equal(stepsOf(kind, 1), {
      not_sent: NextStep.AskAgain,
      rejected: NextStep.AskAgain,
      failed: NextStep.AskAgain,
      empty: NextStep.AskAgain,
      lost: NextStep.AskAgain,
      target_ended: NextStep.AskAgain,
    });
    assert.equal(stepsOf(kind, 2), {
      not_sent: NextStep.AskAgain,
      rejected: NextStep.AskAgain,
      failed: NextStep.PassOn,
      empty: NextStep.PassOn,
      lost: NextStep.FailMayHaveRun,
      target_ended: NextStep.FailMayHaveRun,
    });
  });
}

test("only a request that no target ran is answered as not run", () => {
  const state = {
    kind: RequestKind.AtMostOnce,
    end: AttemptEnd.Rejected,
    maxAttempts: 1,
    rejections: 4,
  };
  assert.is(nextStep({ ...state, runs: 0 }), NextStep.RefuseNotRun);
  assert.is(nextStep({ ...state, runs: 1 }), NextStep.FailMayHaveRun);
});

test.run();
