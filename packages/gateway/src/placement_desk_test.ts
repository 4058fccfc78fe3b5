import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import {
  askOf,
  boardOf,
  memberOf,
} from "@chestnuthatch/routing/routing_test_support";
import type { AskDecision } from "@chestnuthatch/routing/work_ask";
import { EventLog } from "./event_log.ts";
import { PlacementDesk } from "./placement_desk.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 10, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const NONE = new Set<string>();

class Nowhere extends Writable {
  override _write(_chunk: unknown, _code: string, done: () => void): void {
    done();
  }
}

/** A desk whose coordinator is another instance, and what it sends. */
function deskBeside() {
  const board = boardOf(["t1", "t2"]);
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const sent: { to: string; message: RoutingMessage }[] = [];
  // They have run longer than this instance, so one of them coordinates.
  for (let i = 2; i < 6; i++) {
    board.members.memoryReported(`i${i}`, 60_000, 0);
    board.members.heartbeatReceived(memberOf(`i${i}`), 0);
  }
  const coordinatorId = board.members.coordinator(0, NONE).instanceId;
  const desk = new PlacementDesk({
    board,
    coordinator: new Coordinator(board, BOUNDS),
    clock,
    log: new EventLog(clock, "i1", new Nowhere()),
    send: ({ instanceId }, message) => sent.push({ to: instanceId, message }),
    startedAtMs: -60_000,
    spendingWindowMs: 8000,
  });
  const decisions: AskDecision[] = [];
  const kindsTo = (to: string) =>
    sent.filter((s) => s.to === to).map(({ message }) => message.kind);
  const pass = (ms: number) => {
    for (let i = 0; i < ms; i += 20) {
      clock.atMs += 20;
      desk.tick();
    }
  };
  const ask = (askId: string) =>
    desk.ask(askOf(askId), (decision) => decisions.push(decision));
  return { desk, coordinatorId, sent, decisions, kindsTo, pass, ask };
}

function grant(askId: string, targetId = "t1"): RoutingMessage {
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
  assert.is.not(deskBeside().coordinatorId, "i1");
});

test("an ask goes to the coordinator, and its decision comes back once", () => {
  const { desk, coordinatorId, decisions, kindsTo, ask } = deskBeside();
  ask("a1");
  assert.equal(kindsTo(coordinatorId), [MessageKind.Ask]);
  desk.heard(grant("a1"), coordinatorId);
  desk.heard(grant("a1"), coordinatorId);
  assert.is(decisions.length, 1);
});

test("an ask that got no word is sent again", () => {
  const { coordinatorId, kindsTo, pass, ask } = deskBeside();
  ask("a1");
  pass(60);
  const asks = kindsTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 2);
});

test("when the coordinator is silent this instance decides by itself", () => {
  const { coordinatorId, decisions, kindsTo, pass, ask } = deskBeside();
  ask("a1");
  pass(140);
  assert.is(decisions.length, 1);
  assert.ok("targetId" in decisions[0]!);
  assert.ok(kindsTo(coordinatorId).includes(MessageKind.Drop));
});

test("a queued ask waits for its coordinator, and is renewed", () => {
  const { desk, coordinatorId, decisions, sent, pass, ask } = deskBeside();
  ask("a1");
  desk.heard({ kind: MessageKind.Queued, askId: "a1" }, coordinatorId);
  pass(600);
  assert.is(decisions.length, 0);
  const naming = sent.filter(({ to, message }) =>
    to === coordinatorId &&
    (message.kind === MessageKind.Ask && message.ask.askId === "a1" ||
      message.kind === MessageKind.Report &&
        message.report.waiting.includes("a1"))
  );
  assert.ok(naming.length >= 3, String(naming.length));
});

test("an ask that its coordinator knows nothing of is sent to it anew", () => {
  const { desk, coordinatorId, kindsTo, pass, ask } = deskBeside();
  ask("a1");
  desk.heard({ kind: MessageKind.Queued, askId: "a1" }, coordinatorId);
  pass(300);
  desk.heard({ kind: MessageKind.Unknown, askIds: ["a1"] }, coordinatorId);
  const asks = kindsTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 2);
});

test("an ask that was decided meanwhile is not sent anew", () => {
  const { desk, coordinatorId, kindsTo, pass, ask } = deskBeside();
  ask("a1");
  desk.heard(grant("a1"), coordinatorId);
  pass(300);
  desk.heard({ kind: MessageKind.Unknown, askIds: ["a1"] }, coordinatorId);
  const asks = kindsTo(coordinatorId).filter((k) => k === MessageKind.Ask);
  assert.is(asks.length, 1);
});

test("a place that comes too late is handed back", () => {
  const { desk, coordinatorId, decisions, sent, pass, ask } = deskBeside();
  ask("a1");
  pass(140);
  const before = sent.length;
  desk.heard(grant("a1", "t2"), coordinatorId);
  assert.is(decisions.length, 1);
  assert.equal(sent.slice(before), [{
    to: coordinatorId,
    message: { kind: MessageKind.Drop, askId: "a1" },
  }]);
});

test("what runs and what was spent is reported to the coordinator", () => {
  const { desk, coordinatorId, sent, pass } = deskBeside();
  desk.ask(askOf("a1", { cost: 700 }), () => {});
  desk.heard(grant("a1"), coordinatorId);
  pass(600);
  const reports = sent.flatMap(({ message }) =>
    message.kind === MessageKind.Report ? message.report : []
  );
  const last = reports.at(-1)!;
  assert.equal(last.running.map(({ askId }) => askId), ["a1"]);
  assert.equal(last.spent, [{ workspace: "w", spent: 700 }]);
});

test.run();
