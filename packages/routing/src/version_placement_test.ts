/** Tests of the placement of streams that may go on at one version only. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { RolloutPhase } from "./rollout.ts";
import type { RoutingBoard } from "./routing_board.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { AskCause, type AskDecision, AskRefusal } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const SCOPE = { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs: 0 };

/** A board with targets of two slots each, named after their versions. */
function boardWith(versions: Readonly<Record<string, string>>): RoutingBoard {
  const board = boardOf(Object.keys(versions));
  for (const [targetId, version] of Object.entries(versions)) {
    const entry = { ...board.targets.get(targetId)!, version };
    board.targets.apply([{ targetId, rowVersion: 100, entry }], 0);
  }
  return board;
}

function resultOf([decision]: readonly AskDecision[]): string {
  if (decision === undefined) {
    return "queued";
  }
  return "targetId" in decision ? decision.targetId : decision.refusal;
}

// Guards against placing a stream at a target of another version than the one
// that began it, also where targets of its own version are busy or gone.
test("a stream goes on at targets of its version only", () => {
  const board = boardWith({ a1: "v1", b1: "v2", b2: "v2", b3: "v2" });
  const coordinator = new Coordinator(board, BOUNDS);
  const ask = (askId: string, version: string, excluded: string[] = []) =>
    resultOf(coordinator.ask(askOf(askId, { version, excluded }), SCOPE));
  assert.is(ask("q1", "v1"), "a1");
  assert.is(ask("q2", "v1"), "a1");
  assert.is(ask("q3", "v1"), "queued");
  assert.is(ask("q4", "v2", ["b1", "b3"]), "b2");
  assert.is(ask("q5", "v1", ["a1"]), AskRefusal.NoTargetOfVersion);
  assert.is(ask("q6", "v3"), AskRefusal.NoTargetOfVersion);
  const end = { askId: "q1", targetId: "a1", pool: "p", promptTokens: 500 };
  const next = coordinator.ended({ ...end, failed: false }, 10);
  assert.is(resultOf(next), "a1");
});

// Guards against repeats that draw on the retry budget although none is sent.
test("a stream without a target of its version takes nothing of the budget", () => {
  const board = boardWith({ a1: "v1", b1: "v2" });
  const coordinator = new Coordinator(board, BOUNDS);
  const repeat = (askId: string, version: string) =>
    resultOf(
      coordinator.ask(askOf(askId, { version, cause: AskCause.Repeat }), SCOPE),
    );
  const refused = Array.from({ length: 20 }, (_, n) => repeat(`r${n}`, "v3"));
  assert.equal([...new Set(refused)], [AskRefusal.NoTargetOfVersion]);
  assert.is(repeat("q1", "v1"), "a1");
});

test("a queued stream is refused once its version has left", () => {
  const board = boardWith({ a1: "v1", b1: "v2" });
  const coordinator = new Coordinator(board, BOUNDS);
  for (const askId of ["q1", "q2", "q3"]) {
    coordinator.ask(askOf(askId, { version: "v1" }), SCOPE);
  }
  board.targets.announcedLeaving("a1");
  const [decision] = coordinator.tick(50);
  assert.is(decision?.askId, "q3");
  assert.is(resultOf([decision!]), AskRefusal.NoTargetOfVersion);
});

test("a stream goes on at a version under evaluation, but not once rolled back", () => {
  const board = boardWith({ a1: "v1", b1: "v2" });
  const coordinator = new Coordinator(board, BOUNDS);
  const update = {
    pool: "p",
    version: "v2",
    withinMs: 10_000,
    rowVersion: 1,
    ageMs: 0,
  };
  board.rollouts.merge({ ...update, phase: RolloutPhase.Canary }, 0);
  const ask = (askId: string) =>
    resultOf(coordinator.ask(askOf(askId, { version: "v2" }), SCOPE));
  assert.is(ask("q1"), "b1");
  board.rollouts.merge({ ...update, phase: RolloutPhase.RollingBack }, 0);
  assert.is(ask("q2"), AskRefusal.NoTargetOfVersion);
});

test.run();
