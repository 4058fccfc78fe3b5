/** Tests of streams that callers take up, at the coordinator. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import type { RoutingBoard } from "./routing_board.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { VersionCoverage } from "./version_coverage.ts";
import { type AskDecision, AskRefusal, type WorkAsk } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};

/** Longer than asks wait for the origin of their stream. */
const SETTLED_MS = 1000;

/** Time for which a caller may return, with the default route's timeout. */
const WINDOW_MS = 30_000;

function resultOf([decision]: readonly AskDecision[]): string {
  if (decision === undefined) {
    return "waits";
  }
  return "targetId" in decision ? decision.targetId : decision.refusal;
}

/** A coordinator of a pool with one target of each of two versions. */
class TwoVersions {
  readonly board: RoutingBoard = boardOf(["t1", "t2"]);
  readonly coordinator = new Coordinator(this.board, BOUNDS);
  #askCount = 0;

  constructor() {
    this.listVersion("t2", "v2", 0);
    this.board.versionCoverage.versionsRecorded(
      ["v1", "v2"].map((version) => ({ pool: "p", version })),
    );
    this.coordinator.setRole(true, 0);
  }

  listVersion(targetId: string, version: string, nowMs: number): void {
    const entry = { ...this.board.targets.get(targetId)!, version };
    this.board.targets.apply([{ targetId, rowVersion: 100, entry }], nowMs);
  }

  takeUp(streamKey: number | undefined, of: Partial<WorkAsk>, nowMs: number) {
    this.#askCount++;
    const ask = askOf(`a${this.#askCount}`, {
      streamKey,
      takesUp: true,
      ...of,
    });
    const scope = { share: 1, reportedShare: 1, uptimeMs: 1e9, nowMs };
    return resultOf(this.coordinator.ask(ask, scope));
  }
}

test("a stream that is taken up goes on at the version that began it", () => {
  const { coordinator, board } = new TwoVersions();
  const scope = { share: 1, reportedShare: 1, uptimeMs: 1e9, nowMs: 0 };
  const began = [1, 2, 3].map((streamKey) => {
    const askId = `begins-${streamKey}`;
    const decisions = coordinator.ask(askOf(askId, { streamKey }), scope);
    coordinator.firstSeen(askId, 10);
    return resultOf(decisions);
  });
  began.forEach((targetId, index) => {
    const end = { targetId, pool: "p", promptTokens: 500, failed: true };
    coordinator.ended({ askId: `begins-${index + 1}`, ...end }, 20);
  });
  const resumed = [1, 2, 3].map((streamKey) => {
    const ask = askOf(`a${streamKey}`, { streamKey, takesUp: true });
    return resultOf(coordinator.ask(ask, { ...scope, nowMs: SETTLED_MS }));
  });
  const versionOf = (targetId: string) => board.targets.get(targetId)?.version;
  assert.equal(resumed.map(versionOf), began.map(versionOf));
  assert.equal([...new Set(began)].sort(), ["t1", "t2"]);
});

// Guards against going on anywhere where the version is not known.
test("an unknown stream is refused while several versions may have begun it", () => {
  const fleet = new TwoVersions();
  assert.is(fleet.takeUp(9, {}, SETTLED_MS), AskRefusal.UnknownStream);
  assert.is(fleet.takeUp(undefined, {}, SETTLED_MS), AskRefusal.UnknownStream);
  fleet.board.targets.apply([{ targetId: "t2", rowVersion: 101 }], SETTLED_MS);
  const leftMs = SETTLED_MS + WINDOW_MS;
  assert.is(fleet.takeUp(9, {}, leftMs - 1), AskRefusal.UnknownStream);
  assert.is(fleet.takeUp(9, {}, leftMs), "t1");
});

// Guards against refusing callers on days with one version.
test("an unknown stream goes on while only one version may have begun it", () => {
  const single = new Coordinator(boardOf(["t1"]), BOUNDS);
  const scope = { share: 1, reportedShare: 1, uptimeMs: 1e9, nowMs: 0 };
  const ask = askOf("a1", { streamKey: 9, takesUp: true });
  assert.is(resultOf(single.ask(ask, scope)), "t1");
});

// Guards against logs that do not tell a recorded version from a concluded one.
test("results tell how the version of a taken-up stream was found", () => {
  const fleet = new TwoVersions();
  const at = { nowMs: 0, windowMs: WINDOW_MS };
  const group = { pool: "p", version: "v2", keys: [1] };
  fleet.board.streamOrigins.merge([group], at);
  fleet.takeUp(1, {}, SETTLED_MS);
  fleet.takeUp(9, {}, SETTLED_MS);
  const versions = ["v1", "v2"];
  assert.equal(fleet.coordinator.takeTakenUpStreams(), [
    { askId: "a1", pool: "p", basis: "recorded", version: "v2", versions },
    { askId: "a2", pool: "p", basis: "unknown", version: undefined, versions },
  ]);
  assert.equal(fleet.coordinator.takeTakenUpStreams(), []);
});

// Guards against taking the only version that an instance has seen listed for
// the one that began a stream before this instance followed the list.
test("an unknown stream goes on only if all versions are known that served", () => {
  const board = boardOf(["t1"]);
  const coordinator = new Coordinator(board, BOUNDS);
  const { versionCoverage } = board;
  const takeUp = (askId: string, nowMs: number) => {
    const scope = { share: 1, reportedShare: 1, uptimeMs: 1e9, nowMs };
    const ask = askOf(askId, { streamKey: 9, takesUp: true });
    return resultOf(coordinator.ask(ask, scope));
  };
  coordinator.setRole(true, 0);
  versionCoverage.followedFrom(1000);
  const knownAtMs = 1000 + WINDOW_MS;
  assert.is(takeUp("a1", knownAtMs - 1900), "waits");
  assert.equal(coordinator.tick(knownAtMs - 601), []);
  assert.equal(
    coordinator.tick(knownAtMs - 600).map((each) => resultOf([each])),
    [AskRefusal.UnknownStream],
  );
  assert.is(takeUp("a2", knownAtMs - 101), "waits");
  versionCoverage.recorded("p", 900);
  assert.equal(coordinator.tick(knownAtMs - 101), []);
  assert.is(coordinator.tick(knownAtMs - 100).length, 1);
  assert.is(takeUp("a3", knownAtMs), "t1");
  versionCoverage.followedFrom(knownAtMs);
  assert.is(takeUp("a4", knownAtMs), "waits");
});

/** A coordinator that knows one version, up to a time. */
function confirmedUpTo(confirmedAtMs: number) {
  const versionCoverage = new VersionCoverage();
  versionCoverage.followedFrom(-Infinity);
  versionCoverage.confirmed(confirmedAtMs);
  const board = { ...boardOf(["t1"]), versionCoverage };
  const coordinator = new Coordinator(board, BOUNDS);
  coordinator.setRole(true, 0);
  const takeUp = (askId: string, nowMs: number) => {
    const scope = { share: 1, reportedShare: 1, uptimeMs: 1e9, nowMs };
    const ask = askOf(askId, { streamKey: 9, takesUp: true });
    return resultOf(coordinator.ask(ask, scope));
  };
  return { board, coordinator, takeUp };
}

// Guards against taking an outdated list of targets for the present one, by an
// instance that was cut off or stood still while a version joined.
test("an unknown stream goes on only if the list of targets is confirmed", () => {
  const { board, coordinator, takeUp } = confirmedUpTo(SETTLED_MS - 1);
  assert.is(takeUp("a1", SETTLED_MS), "waits");
  board.versionCoverage.confirmed(SETTLED_MS);
  assert.is(coordinator.tick(SETTLED_MS + 10).length, 1);
  assert.is(takeUp("a2", SETTLED_MS + 20), "waits");
  assert.equal(coordinator.tick(SETTLED_MS + 1319), []);
  const decisions = coordinator.tick(SETTLED_MS + 1320);
  assert.is(resultOf(decisions), AskRefusal.UnknownStream);
});

// Guards against going on once the confirmation has shown another version.
test("an unknown stream is refused as soon as another version is known", () => {
  const { board, coordinator, takeUp } = confirmedUpTo(0);
  assert.is(takeUp("a1", SETTLED_MS), "waits");
  const target = board.targets.get("t1")!;
  const entry = { ...target, targetId: "t2", version: "v2" };
  board.targets.apply([{ targetId: "t2", rowVersion: 9, entry }], SETTLED_MS);
  board.versionCoverage.confirmed(SETTLED_MS);
  const decisions = coordinator.tick(SETTLED_MS + 10);
  assert.is(resultOf(decisions), AskRefusal.UnknownStream);
});

// Guards against streams of a version that nobody could tell after a loss of all
// instances, as it was not recorded.
test("new streams wait until the versions of their pool are recorded", () => {
  const { board, coordinator } = new TwoVersions();
  const { versionCoverage } = board;
  const begin = (askId: string, streamKey: number | undefined, nowMs: number) =>
    resultOf(
      coordinator.ask(askOf(askId, { streamKey }), {
        share: 1,
        reportedShare: 1,
        uptimeMs: 1e9,
        nowMs,
      }),
    );
  versionCoverage.versionsRecorded([{ pool: "p", version: "v1" }]);
  assert.is(begin("a1", 1, 100), "waits");
  assert.is(begin("a2", undefined, 100), "t1", "is no stream that may return");
  assert.not.ok(coordinator.awaitsStreams);
  versionCoverage.versionsRecorded(
    ["v1", "v2"].map((version) => ({ pool: "p", version })),
  );
  assert.is(coordinator.tick(110).length, 1);
  versionCoverage.versionsRecorded([]);
  assert.is(begin("a3", 3, 499), "waits");
  assert.is(coordinator.tick(500).length, 1, "the store may not answer");
});

// Guards against refusals by a coordinator that has just begun to coordinate.
test("a new coordinator waits for the reports of other holders", () => {
  const fleet = new TwoVersions();
  const { coordinator } = fleet;
  assert.is(fleet.takeUp(5, {}, 10), "waits");
  assert.is(fleet.takeUp(6, {}, 10), "waits");
  assert.equal(coordinator.load(), [{ pool: "p", waiting: 2, placed: 0 }]);
  const report = { holderId: "i2", running: [], waiting: [], spent: [] };
  const streams = [{ pool: "p", version: "v2", keys: [5] }];
  coordinator.report({ ...report, streams }, 100);
  assert.equal(coordinator.tick(120).map((each) => resultOf([each])), ["t2"]);
  assert.equal(coordinator.tick(399), []);
  assert.equal(coordinator.tick(400).map((each) => resultOf([each])), [
    AskRefusal.UnknownStream,
  ]);
  assert.equal(coordinator.load(), [{ pool: "p", waiting: 0, placed: 1 }]);
});

// Guards against refusals by an instance that the others ask before it has
// noticed itself that the coordinator has failed.
test("an instance that is asked out of turn waits for reports, too", () => {
  const fleet = new TwoVersions();
  const { coordinator } = fleet;
  coordinator.setRole(false, 0);
  assert.is(fleet.takeUp(5, {}, 500), "waits");
  assert.ok(coordinator.awaitsStreams);
  assert.equal(coordinator.tick(899), []);
  assert.is(coordinator.tick(900).length, 1);
  assert.is(fleet.takeUp(6, {}, 1000), AskRefusal.UnknownStream);
  assert.is(fleet.takeUp(7, {}, 4000), "waits");
});

// Guards against forgetting a version whose targets are all gone.
test("a version that another holder reports may have begun a stream", () => {
  const board = boardOf(["t1"]);
  const coordinator = new Coordinator(board, BOUNDS);
  coordinator.setRole(true, 0);
  const streams = [{ pool: "p", version: "v0", keys: [] }];
  coordinator.report(
    { holderId: "i2", running: [], waiting: [], spent: [], streams },
    0,
  );
  const scope = {
    share: 1,
    reportedShare: 1,
    uptimeMs: 1e9,
    nowMs: SETTLED_MS,
  };
  const ask = askOf("a1", { streamKey: 9, takesUp: true });
  assert.is(
    resultOf(coordinator.ask(ask, scope)),
    AskRefusal.UnknownStream,
  );
});

test("targets to avoid get a stream only where its version has no others", () => {
  const fleet = new TwoVersions();
  const at = { nowMs: 0, windowMs: WINDOW_MS };
  fleet.board.streamOrigins.merge(
    [{ pool: "p", version: "v2", keys: [1] }],
    at,
  );
  const entry = { ...fleet.board.targets.get("t2")!, targetId: "t3" };
  assert.is(fleet.takeUp(1, { avoided: ["t2"] }, SETTLED_MS), "t2");
  const change = { targetId: "t3", rowVersion: 102, entry };
  fleet.board.targets.apply([change], SETTLED_MS);
  assert.is(fleet.takeUp(1, { avoided: ["t2"] }, SETTLED_MS), "t3");
});

test("a stream of another pool does not go on", () => {
  const fleet = new TwoVersions();
  const at = { nowMs: 0, windowMs: WINDOW_MS };
  fleet.board.streamOrigins.merge(
    [{ pool: "q", version: "v1", keys: [1] }],
    at,
  );
  assert.is(fleet.takeUp(1, {}, SETTLED_MS), AskRefusal.NoTargetOfVersion);
});

// Guards against concluding the version of a stream beside one that is recorded
// and was known here last long before, as when it was rolled out again unseen.
test("a recorded version counts that was known long ago", () => {
  const fleet = new TwoVersions();
  const { board, coordinator } = fleet;
  board.targets.apply([{ targetId: "t2", rowVersion: 101 }], SETTLED_MS);
  const laterMs = SETTLED_MS + 2 * WINDOW_MS;
  board.versionCoverage.confirmed(laterMs);
  assert.is(fleet.takeUp(9, {}, laterMs), "t1");
  const record = ["v1", "v2"].map((version) => ({
    pool: "p",
    version,
    keys: [],
  }));
  coordinator.restoreStreams(record, laterMs);
  assert.is(fleet.takeUp(8, {}, laterMs), AskRefusal.UnknownStream);
});

test.run();
