import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  MessageKind,
  peerMessageSchema,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import {
  askOf,
  boardOf,
  memberOf,
} from "@chestnuthatch/routing/routing_test_support";
import type { AskDecision, WorkEnd } from "@chestnuthatch/routing/work_ask";
import { EventLog } from "./event_log.ts";
import { PlacementClient } from "./placement_client.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 10, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const NO_IDS = new Set<string>();

class Discard extends Writable {
  override _write(_chunk: unknown, _code: string, done: () => void): void {
    done();
  }
}

/** A client whose coordinator is another instance, and what it sends. */
function clientOfRemoteCoordinator(memberCount = 5) {
  const board = boardOf(["t1", "t2"]);
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const sent: { to: string; message: RoutingMessage }[] = [];
  // They started before this instance, so one of them coordinates.
  for (let i = 2; i <= memberCount; i++) {
    const member = memberOf(`i${i}`, { incarnation: -60_000 });
    board.members.heartbeatReceived(member, 0);
  }
  const coordinatorId = board.members.coordinator(0, NO_IDS).instanceId;
  const coordinator = new Coordinator(board, BOUNDS);
  const client = new PlacementClient({
    board,
    coordinator,
    clock,
    log: new EventLog(clock, "i1", new Discard()),
    send: ({ instanceId }, message) => sent.push({ to: instanceId, message }),
    startedAtMs: -60_000,
    spendingWindowMs: 8000,
  });
  const decisions: AskDecision[] = [];
  const kindsSentTo = (to: string) =>
    sent.filter((s) => s.to === to).map(({ message }) => message.kind);
  const advance = (ms: number) => {
    for (let i = 0; i < ms; i += 20) {
      clock.atMs += 20;
      client.tick();
    }
  };
  const ask = (askId: string) =>
    client.ask(askOf(askId), (decision) => decisions.push(decision));
  return {
    client,
    board,
    clock,
    coordinator,
    coordinatorId,
    sent,
    decisions,
    kindsSentTo,
    advance,
    ask,
  };
}

function decisionMessage(askId: string, targetId = "t1"): RoutingMessage {
  const decision = {
    askId,
    holderId: "i1",
    targetId,
    expectedMs: 50,
    cameBackMs: 0,
  };
  return { kind: MessageKind.Decision, decision };
}

test("this instance does not coordinate in these tests", () => {
  assert.is.not(clientOfRemoteCoordinator().coordinatorId, "i1");
});

test("an ask is sent to the coordinator, and its decision is applied once", () => {
  const { client, coordinatorId, decisions, kindsSentTo, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  assert.equal(kindsSentTo(coordinatorId), [MessageKind.Ask]);
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  assert.is(decisions.length, 1);
});

test("an unacknowledged ask is sent again", () => {
  const { coordinatorId, kindsSentTo, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  advance(60);
  const asks = kindsSentTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 2);
});

test("when the coordinator is silent, this instance decides by itself", () => {
  const { coordinatorId, decisions, kindsSentTo, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  advance(140);
  assert.is(decisions.length, 1);
  assert.ok("targetId" in decisions[0]!);
  assert.ok(kindsSentTo(coordinatorId).includes(MessageKind.Drop));
});

test("a queued ask waits for its coordinator, and is reported again", () => {
  const { client, coordinatorId, decisions, sent, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  client.handleMessage(
    { kind: MessageKind.Queued, askId: "a1" },
    coordinatorId,
  );
  advance(600);
  assert.is(decisions.length, 0);
  const naming = sent.filter(({ to, message }) =>
    to === coordinatorId &&
    (message.kind === MessageKind.Ask && message.ask.askId === "a1" ||
      message.kind === MessageKind.Report &&
        message.report.waiting.includes("a1"))
  );
  assert.ok(naming.length >= 3, String(naming.length));
});

test("an ask that is unknown to its coordinator is sent again", () => {
  const { client, coordinatorId, kindsSentTo, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  client.handleMessage(
    { kind: MessageKind.Queued, askId: "a1" },
    coordinatorId,
  );
  advance(300);
  client.handleMessage(
    { kind: MessageKind.Unknown, askIds: ["a1"] },
    coordinatorId,
  );
  const asks = kindsSentTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 2);
});

test("an ask that was decided meanwhile is not sent again", () => {
  const { client, coordinatorId, kindsSentTo, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  advance(300);
  client.handleMessage(
    { kind: MessageKind.Unknown, askIds: ["a1"] },
    coordinatorId,
  );
  const asks = kindsSentTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 1);
});

test("a placement that arrives too late is dropped", () => {
  const { client, coordinatorId, decisions, sent, advance, ask } =
    clientOfRemoteCoordinator();
  ask("a1");
  advance(140);
  const before = sent.length;
  client.handleMessage(decisionMessage("a1", "t2"), coordinatorId);
  assert.is(decisions.length, 1);
  assert.equal(sent.slice(before), [{
    to: coordinatorId,
    message: { kind: MessageKind.Drop, askId: "a1" },
  }]);
});

// Guards against a load that is lost on its way to the coordinator.
test("a target's load is passed on with the first event and the end", () => {
  const { client, coordinatorId, sent, ask } = clientOfRemoteCoordinator();
  const load = { running: 1, waiting: 0, slowdownRatio: 2.5, ageMs: 3 };
  ask("a1");
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  client.reportFirstEvent("a1", { load });
  client.reportFirstEvent("a1");
  client.reportEnd({ ...endOf("a1"), load });
  const messages = sent.slice(-3).map(({ message }) => message);
  assert.equal(messages, [
    { kind: MessageKind.FirstSeen, askId: "a1", load },
    { kind: MessageKind.FirstSeen, askId: "a1" },
    { kind: MessageKind.End, end: { ...endOf("a1"), load } },
  ]);
  assert.equal(messages.map((m) => peerMessageSchema.parse(m)), messages);
});

function endOf(askId: string): WorkEnd {
  return { askId, targetId: "t1", pool: "p", promptTokens: 500, failed: false };
}

test("a holder's reports of load are recorded here with their age", () => {
  const { client, board, clock } = clientOfRemoteCoordinator();
  const load = { running: 1, waiting: 0, slowdownRatio: 4, ageMs: 300 };
  clock.atMs = 1000;
  const ask = askOf("a1", { holderId: "i2" });
  client.handleMessage({ kind: MessageKind.Ask, ask }, "i2");
  client.handleMessage(
    { kind: MessageKind.FirstSeen, askId: "a1", load },
    "i2",
  );
  const ratio = board.targetLoads.slowdownsAt(1000)?.("t1");
  assert.is(ratio, 1 + 3 * Math.exp(-1));
});

// Guards against a coordinator that places at a target which holders know as
// removed.
test("a returned placement names the target that has left, which two of them pause", () => {
  const { client, coordinator, coordinatorId, sent, ask } =
    clientOfRemoteCoordinator(20);
  ask("a1");
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  client.drop("a1", "t1");
  const drop = { kind: MessageKind.Drop, unusableTargetId: "t1" } as const;
  assert.equal(sent.at(-1)!.message, { ...drop, askId: "a1" });
  for (const holderId of ["i2", "i3"]) {
    const of = { holderId, excluded: ["t2"] };
    const asked = { kind: MessageKind.Ask, ask: askOf(holderId, of) } as const;
    client.handleMessage(asked, holderId);
    client.handleMessage({ ...drop, askId: holderId }, holderId);
  }
  assert.equal(coordinator.pausedTargets().map((p) => p.targetId), ["t1"]);
});

test("running work and spending are reported to the coordinator", () => {
  const { client, coordinatorId, sent, advance } = clientOfRemoteCoordinator();
  client.ask(askOf("a1", { cost: 700 }), () => {});
  client.handleMessage(decisionMessage("a1"), coordinatorId);
  advance(600);
  const reports = sent.flatMap(({ message }) =>
    message.kind === MessageKind.Report ? message.report : []
  );
  const last = reports.at(-1)!;
  assert.equal(last.running.map(({ askId }) => askId), ["a1"]);
  assert.equal(last.spent, [{ workspace: "w", spent: 700 }]);
});

// Guards against refusals that the coordinator does not learn of, and against
// changed decisions in small fleets.
test("announced waits refuse asks in a large fleet, which are reported", () => {
  const admission = [{ pool: "p", rank: 0, waitMs: 9000 }];
  for (const memberCount of [13, 14]) {
    const { client, coordinatorId, sent, decisions, advance, ask } =
      clientOfRemoteCoordinator(memberCount);
    advance(20);
    client.waitsAnnounced(coordinatorId, admission);
    ask("a1");
    const refused = sent.flatMap(({ message }) =>
      message.kind === MessageKind.Report ? message.report.refused ?? [] : []
    );
    assert.equal(refused, []);
    const isLarge = memberCount === 14;
    assert.is(decisions.length, Number(isLarge));
    advance(260);
    const reported = sent.flatMap(({ message }) =>
      message.kind === MessageKind.Report ? message.report.refused ?? [] : []
    );
    const expected = { pool: "p", rank: 0, count: 1, callHashes: [] };
    assert.equal(reported, isLarge ? [expected] : []);
  }
});

test.run();
