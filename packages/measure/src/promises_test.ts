import { test } from "uvu";
import * as assert from "uvu/assert";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import {
  type CallRecord,
  LEAVING_GRACE_MS,
  type LowerTierWork,
  PromiseChecker,
  PromiseKind,
  type WorkReceived,
} from "./promises.ts";

class FakeWorld {
  timeMs = 1000;
  lowerTier: LowerTierWork[] = [];

  nowMs(): number {
    return this.timeMs;
  }

  lowerTierWork(): LowerTierWork[] {
    return this.lowerTier;
  }

  inReach(): boolean {
    return true;
  }

  story(call: CallRecord): string[] {
    return [`story of ${call.requestId}`];
  }
}

const CALL: CallRecord = {
  requestId: "call-1",
  itemId: "item-1",
  idempotent: true,
  pool: "msaidizi",
  tierRank: 0,
  holderId: "entry-1",
  sentAtMs: 0,
};

const KEYED: CallRecord = { ...CALL, idempotent: false, key: "meru-plots/k" };

const WORK: WorkReceived = {
  requestId: "call-1",
  targetId: "msaidizi-1",
  holderId: "entry-1",
  pool: "msaidizi",
  tierRank: 0,
};

const LOWER: LowerTierWork = {
  requestId: "call-9",
  description: "call-9 of tier 2 runs at entry-2",
};

const OVERLOADED = { error: ErrorKind.Overloaded, ran: RunState.NotRun };

interface Setting {
  world: FakeWorld;
  checker: PromiseChecker;
}

function setUp(call: CallRecord = CALL): Setting {
  const world = new FakeWorld();
  const checker = new PromiseChecker(world);
  checker.callReceived(call);
  return { world, checker };
}

function kindsOf(checker: PromiseChecker): PromiseKind[] {
  return checker.broken.map(({ kind }) => kind);
}

test("should find nothing wrong with a request that ran once", () => {
  const { checker } = setUp(KEYED);
  checker.workReceived(WORK);
  checker.workStarted("call-1");
  checker.answerMade("call-1", "whole");
  checker.callAnswered("call-1", "whole");
  checker.outcomeDue("call-1");
  checker.finish();
  assert.equal(checker.broken, []);
});

test("should detect a second dispatch, with the request's story", () => {
  const { checker } = setUp();
  checker.workReceived(WORK);
  checker.workReceived({ ...WORK, targetId: "msaidizi-2" });
  assert.equal(checker.broken, [{
    kind: PromiseKind.DispatchedTwice,
    atMs: 1000,
    subject: "call-1",
    detail: "msaidizi-1, msaidizi-2",
    story: ["story of call-1"],
  }]);
  assert.equal(checker.counts(), { [PromiseKind.DispatchedTwice]: 1 });
});

test("should detect a key that ran twice, unless it may", () => {
  const { checker } = setUp(KEYED);
  checker.callReceived({ ...KEYED, requestId: "call-2" });
  checker.workStarted("call-1");
  checker.workStarted("call-2");
  assert.equal(kindsOf(checker), [PromiseKind.NonIdempotentRanTwice]);

  const idempotent = setUp({ ...KEYED, idempotent: true }).checker;
  idempotent.callReceived({ ...KEYED, idempotent: true, requestId: "call-2" });
  idempotent.workStarted("call-1");
  idempotent.workStarted("call-2");
  assert.equal(idempotent.broken, []);
});

test("should detect fragments and another caller's answer", () => {
  const fragment = setUp().checker;
  fragment.answerMade("call-1", "whole");
  fragment.callAnswered("call-1", "who");
  assert.equal(kindsOf(fragment), [PromiseKind.NotOwnWholeAnswer]);

  const crossed = setUp().checker;
  crossed.callReceived({ ...CALL, requestId: "call-2", itemId: "item-2" });
  crossed.answerMade("call-2", "other");
  crossed.callAnswered("call-1", "other");
  assert.equal(kindsOf(crossed), [PromiseKind.NotOwnWholeAnswer]);
});

test("should accept the answer of another call about the same item", () => {
  const { checker } = setUp();
  checker.callReceived({ ...CALL, requestId: "call-2" });
  checker.answerMade("call-2", "whole");
  checker.callAnswered("call-1", "whole");
  assert.equal(checker.broken, []);
});

test("should detect a run told as not run, also one that came later", () => {
  const { checker } = setUp();
  checker.callRefused("call-1", OVERLOADED);
  checker.workStarted("call-1");
  checker.finish();
  assert.equal(kindsOf(checker), [PromiseKind.NotRunButRan]);
});

test("should detect not run told for a key that another call ran", () => {
  const { checker } = setUp(KEYED);
  checker.callReceived({ ...KEYED, requestId: "call-2" });
  checker.workStarted("call-1");
  checker.callRefused("call-2", OVERLOADED);
  checker.finish();
  assert.equal(kindsOf(checker), [PromiseKind.NotRunButKeyRan]);
});

test("should detect a second outcome and a missing one", () => {
  const { checker } = setUp();
  checker.outcomeDue("call-1");
  checker.callRefused("call-1", OVERLOADED);
  checker.callRefused("call-1", OVERLOADED);
  assert.equal(kindsOf(checker), [
    PromiseKind.NoOutcome,
    PromiseKind.AnsweredTwice,
  ]);
});

test("should detect a refusal while lower-tier work is served", () => {
  const { world, checker } = setUp();
  world.lowerTier = [LOWER];
  checker.callRefused("call-1", OVERLOADED);
  checker.finish();
  assert.equal(kindsOf(checker), [PromiseKind.TierOrder]);
});

test("should take lower-tier work as served unless it is refused at that moment", () => {
  const atOnce = setUp();
  atOnce.world.lowerTier = [LOWER];
  atOnce.checker.callRefused("call-1", OVERLOADED);
  atOnce.world.timeMs += 50;
  atOnce.checker.callRefused("call-9", OVERLOADED);
  atOnce.checker.finish();
  assert.equal(atOnce.checker.broken, []);

  const answered = setUp();
  answered.world.lowerTier = [LOWER];
  answered.checker.callRefused("call-1", OVERLOADED);
  answered.checker.answerMade("call-9", "whole");
  answered.checker.callAnswered("call-9", "whole");
  answered.checker.finish();
  assert.ok(kindsOf(answered.checker).includes(PromiseKind.TierOrder));

  const later = setUp();
  later.world.lowerTier = [LOWER];
  later.checker.callRefused("call-1", OVERLOADED);
  later.world.timeMs += 51;
  later.checker.callRefused("call-9", OVERLOADED);
  later.checker.finish();
  assert.equal(kindsOf(later.checker), [PromiseKind.TierOrder]);
});

test("should detect lower-tier work that was sent meanwhile", () => {
  const { checker } = setUp();
  checker.workReceived({ ...WORK, requestId: "call-9", tierRank: 2 });
  checker.callRefused("call-1", OVERLOADED);
  assert.equal(kindsOf(checker), [PromiseKind.TierOrderWhileWaiting]);
});

test("should leave refusals alone that are not for overload", () => {
  const { world, checker } = setUp();
  world.lowerTier = [LOWER];
  checker.callRefused("call-1", {
    error: ErrorKind.StoreUnavailable,
    ran: RunState.NotRun,
  });
  checker.finish();
  assert.equal(checker.broken, []);
});

test("should detect work for a target that has been leaving too long", () => {
  const { world, checker } = setUp();
  checker.targetLeaving("msaidizi-1");
  world.timeMs += LEAVING_GRACE_MS;
  checker.workReceived(WORK);
  assert.equal(checker.broken, []);
  world.timeMs += 1;
  checker.workReceived({ ...WORK, requestId: "call-2" });
  assert.equal(kindsOf(checker), [PromiseKind.DispatchedToLeaving]);
});

test("should detect settings that go back on one process", () => {
  const { checker } = setUp();
  checker.settingsInForce("entry-1/1", 2);
  checker.settingsInForce("entry-1/2", 1);
  assert.equal(checker.broken, []);
  checker.settingsInForce("entry-1/1", 1);
  assert.equal(kindsOf(checker), [PromiseKind.SettingsReverted]);
});

test("should keep what a target tells of its memory", () => {
  const { checker } = setUp();
  checker.kvExceeded("msaidizi-1", "130000 of 120000 tokens");
  assert.equal(kindsOf(checker), [PromiseKind.KvExceeded]);
});

test.run();
