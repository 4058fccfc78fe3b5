import { test } from "uvu";
import * as assert from "uvu/assert";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import {
  type CallRecord,
  LEAVING_GRACE_MS,
  type LowerTierWork,
  PromiseChecker,
  PromiseKind,
  type ReceivedWork,
} from "./promise_checker.ts";

class FakeSimulation {
  timeMs = 1000;
  lowerTier: LowerTierWork[] = [];

  nowMs(): number {
    return this.timeMs;
  }

  findLowerTierWork(): LowerTierWork[] {
    return this.lowerTier;
  }

  canReach(): boolean {
    return true;
  }

  describeDecisions(call: CallRecord): string[] {
    return [`decisions on ${call.requestId}`];
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

const KEYED_CALL: CallRecord = {
  ...CALL,
  idempotent: false,
  workspaceKey: "meru-plots/k",
};

const WORK: ReceivedWork = {
  requestId: "call-1",
  targetId: "msaidizi-1",
  holderId: "entry-1",
  pool: "msaidizi",
  tierRank: 0,
};

const LOWER_TIER_WORK: LowerTierWork = {
  requestId: "call-9",
  description: "call-9 of tier 2 runs at entry-2",
};

const OVERLOADED = { error: ErrorKind.Overloaded, ran: RunState.NotRun };

interface TestContext {
  simulation: FakeSimulation;
  checker: PromiseChecker;
}

function setUp(call: CallRecord = CALL): TestContext {
  const simulation = new FakeSimulation();
  const checker = new PromiseChecker(simulation);
  checker.recordCall(call);
  return { simulation, checker };
}

function brokenKinds(checker: PromiseChecker): PromiseKind[] {
  return checker.broken.map(({ kind }) => kind);
}

test("should find no violation for a request that ran once", () => {
  const { checker } = setUp(KEYED_CALL);
  checker.recordWorkReceived(WORK);
  checker.recordWorkStarted("call-1");
  checker.recordCompleteAnswer("call-1", "whole");
  checker.recordCallAnswered("call-1", "whole");
  checker.checkOutcome("call-1");
  checker.finish();
  assert.equal(checker.broken, []);
});

test("should detect a second dispatch and list the request's decisions", () => {
  const { checker } = setUp();
  checker.recordWorkReceived(WORK);
  checker.recordWorkReceived({ ...WORK, targetId: "msaidizi-2" });
  assert.equal(checker.broken, [{
    kind: PromiseKind.DispatchedTwice,
    atMs: 1000,
    subject: "call-1",
    detail: "msaidizi-1, msaidizi-2",
    story: ["decisions on call-1"],
  }]);
  assert.equal(checker.countByKind(), { [PromiseKind.DispatchedTwice]: 1 });
});

test("should detect a key that ran twice, unless it is idempotent", () => {
  const { checker } = setUp(KEYED_CALL);
  checker.recordCall({ ...KEYED_CALL, requestId: "call-2" });
  checker.recordWorkStarted("call-1");
  checker.recordWorkStarted("call-2");
  assert.equal(brokenKinds(checker), [PromiseKind.NonIdempotentRanTwice]);

  const idempotent = setUp({ ...KEYED_CALL, idempotent: true }).checker;
  idempotent.recordCall({
    ...KEYED_CALL,
    idempotent: true,
    requestId: "call-2",
  });
  idempotent.recordWorkStarted("call-1");
  idempotent.recordWorkStarted("call-2");
  assert.equal(idempotent.broken, []);
});

test("should detect incomplete answers and another caller's answer", () => {
  const fragment = setUp().checker;
  fragment.recordCompleteAnswer("call-1", "whole");
  fragment.recordCallAnswered("call-1", "who");
  assert.equal(brokenKinds(fragment), [PromiseKind.NotOwnWholeAnswer]);

  const crossed = setUp().checker;
  crossed.recordCall({ ...CALL, requestId: "call-2", itemId: "item-2" });
  crossed.recordCompleteAnswer("call-2", "other");
  crossed.recordCallAnswered("call-1", "other");
  assert.equal(brokenKinds(crossed), [PromiseKind.NotOwnWholeAnswer]);
});

test("should accept the answer of another call about the same item", () => {
  const { checker } = setUp();
  checker.recordCall({ ...CALL, requestId: "call-2" });
  checker.recordCompleteAnswer("call-2", "whole");
  checker.recordCallAnswered("call-1", "whole");
  assert.equal(checker.broken, []);
});

test("should detect a run after a refusal as not run", () => {
  const { checker } = setUp();
  checker.recordCallRefused("call-1", OVERLOADED);
  checker.recordWorkStarted("call-1");
  checker.finish();
  assert.equal(brokenKinds(checker), [PromiseKind.NotRunButRan]);
});

test("should detect a refusal as not run for a key that another call ran", () => {
  const { checker } = setUp(KEYED_CALL);
  checker.recordCall({ ...KEYED_CALL, requestId: "call-2" });
  checker.recordWorkStarted("call-1");
  checker.recordCallRefused("call-2", OVERLOADED);
  checker.finish();
  assert.equal(brokenKinds(checker), [PromiseKind.NotRunButKeyRan]);
});

test("should detect a second outcome and a missing one", () => {
  const { checker } = setUp();
  checker.checkOutcome("call-1");
  checker.recordCallRefused("call-1", OVERLOADED);
  checker.recordCallRefused("call-1", OVERLOADED);
  assert.equal(brokenKinds(checker), [
    PromiseKind.NoOutcome,
    PromiseKind.AnsweredTwice,
  ]);
});

test("should detect a refusal while lower-tier work is served", () => {
  const { simulation, checker } = setUp();
  simulation.lowerTier = [LOWER_TIER_WORK];
  checker.recordCallRefused("call-1", OVERLOADED);
  checker.finish();
  assert.equal(brokenKinds(checker), [PromiseKind.TierOrder]);
});

test("should count lower-tier work as served unless it is refused at the same moment", () => {
  const atOnce = setUp();
  atOnce.simulation.lowerTier = [LOWER_TIER_WORK];
  atOnce.checker.recordCallRefused("call-1", OVERLOADED);
  atOnce.simulation.timeMs += 50;
  atOnce.checker.recordCallRefused("call-9", OVERLOADED);
  atOnce.checker.finish();
  assert.equal(atOnce.checker.broken, []);

  const answered = setUp();
  answered.simulation.lowerTier = [LOWER_TIER_WORK];
  answered.checker.recordCallRefused("call-1", OVERLOADED);
  answered.checker.recordCompleteAnswer("call-9", "whole");
  answered.checker.recordCallAnswered("call-9", "whole");
  answered.checker.finish();
  assert.ok(brokenKinds(answered.checker).includes(PromiseKind.TierOrder));

  const later = setUp();
  later.simulation.lowerTier = [LOWER_TIER_WORK];
  later.checker.recordCallRefused("call-1", OVERLOADED);
  later.simulation.timeMs += 51;
  later.checker.recordCallRefused("call-9", OVERLOADED);
  later.checker.finish();
  assert.equal(brokenKinds(later.checker), [PromiseKind.TierOrder]);
});

test("should detect lower-tier work dispatched while a call waited", () => {
  const { checker } = setUp();
  checker.recordWorkReceived({ ...WORK, requestId: "call-9", tierRank: 2 });
  checker.recordCallRefused("call-1", OVERLOADED);
  assert.equal(brokenKinds(checker), [PromiseKind.TierOrderWhileWaiting]);
});

test("should not check the tier order of refusals other than for overload", () => {
  const { simulation, checker } = setUp();
  simulation.lowerTier = [LOWER_TIER_WORK];
  checker.recordCallRefused("call-1", {
    error: ErrorKind.StoreUnavailable,
    ran: RunState.NotRun,
  });
  checker.finish();
  assert.equal(checker.broken, []);
});

test("should detect work for a target that has been leaving too long", () => {
  const { simulation, checker } = setUp();
  checker.recordTargetLeaving("msaidizi-1");
  simulation.timeMs += LEAVING_GRACE_MS;
  checker.recordWorkReceived(WORK);
  assert.equal(checker.broken, []);
  simulation.timeMs += 1;
  checker.recordWorkReceived({ ...WORK, requestId: "call-2" });
  assert.equal(brokenKinds(checker), [PromiseKind.DispatchedToLeaving]);
});

test("should detect a process that goes back to older settings", () => {
  const { checker } = setUp();
  checker.recordSettingsInForce("entry-1/1", 2);
  checker.recordSettingsInForce("entry-1/2", 1);
  assert.equal(checker.broken, []);
  checker.recordSettingsInForce("entry-1/1", 1);
  assert.equal(brokenKinds(checker), [PromiseKind.SettingsReverted]);
});

test("should record a target whose KV memory is exceeded", () => {
  const { checker } = setUp();
  checker.recordKvExceeded("msaidizi-1", "130000 of 120000 tokens");
  assert.equal(brokenKinds(checker), [PromiseKind.KvExceeded]);
});

test.run();
