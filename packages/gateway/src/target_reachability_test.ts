/** Tests which targets count as ended, and which are relayed. */

import { Writable } from "node:stream";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { PeerSocket } from "./peer_socket.ts";
import { ProbeResult } from "./target_probes.ts";
import { TargetReachability } from "./target_reachability.ts";

const TARGET_ID = "t1";

/** An instance with two peers, and the results that all probes have. */
class Harness {
  readonly board = boardOf([TARGET_ID, "t2"]);
  ownResult = ProbeResult.Refused;
  peerReaches = true;
  closedAllIdle = 0;
  nowMs = 1000;
  send = (_address: string, _message: RoutingMessage) => {};
  readonly #queries: { targetId: string; memberId: string }[] = [];
  readonly reachability: TargetReachability;

  constructor() {
    this.receiveHeartbeats();
    const clock = { nowMs: () => this.nowMs };
    const discard = new Writable({ write: (_chunk, _code, done) => done() });
    this.reachability = new TargetReachability({
      board: this.board,
      clock,
      log: new EventLog(clock, "i1", discard),
      metrics: { relayedTargets: () => {} },
      probes: { probe: () => Promise.resolve(this.ownResult) },
      connections: {
        closeAllIdle: () => this.closedAllIdle++,
        closeIdle: () => {},
      },
      failureDomain: "a",
      acceptsRelays: () => true,
      send: ({ instanceId, address }, message) => {
        this.#recordQuery(instanceId, message);
        this.send(address, message);
      },
    });
  }

  get target() {
    return this.board.targets.get(TARGET_ID)!;
  }

  receiveHeartbeats(): void {
    for (const id of ["i2", "i3"]) {
      this.board.members.heartbeatReceived(memberOf(id), this.nowMs);
    }
  }

  /** Lets everything run that is due, and delivers the peers' replies. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
      for (const { targetId, memberId } of this.#queries.splice(0)) {
        const reply = { memberId, isReached: this.peerReaches };
        this.reachability.replyReceived(targetId, reply);
      }
    }
  }

  #recordQuery(memberId: string, message: RoutingMessage): void {
    if (message.kind === MessageKind.ReachQuery) {
      this.#queries.push({ targetId: message.targetId, memberId });
    }
  }
}

test("a target that only this instance cannot connect to is relayed", async () => {
  const harness = new Harness();
  const found = harness.reachability.findRelay(harness.target);
  await harness.settle();
  assert.is((await found)?.instanceId, "i2");
  assert.ok(harness.board.relayedTargets.has(TARGET_ID));
  assert.is(harness.closedAllIdle, 1);
  const relays = [1, 2, 3].map(() =>
    harness.reachability.relayFor(harness.target)?.instanceId
  );
  assert.equal(relays, ["i2", "i3", "i2"]);
});

test("a target that no instance can connect to is not relayed", async () => {
  const harness = new Harness();
  harness.peerReaches = false;
  const found = harness.reachability.findRelay(harness.target);
  await harness.settle();
  assert.is(await found, undefined);
  assert.is(harness.reachability.relayFor(harness.target), undefined);
});

test("a slow connection alone does not make a target relayed", async () => {
  const harness = new Harness();
  harness.ownResult = ProbeResult.Connected;
  const found = harness.reachability.findRelay(harness.target);
  await harness.settle();
  assert.is((await found)?.instanceId, "i2");
  assert.not(harness.board.relayedTargets.has(TARGET_ID));
});

// Guards against blaming requests for the end of a target's process when many
// of them lost their answers at once because of a broken path to the target.
test("answers lost at once on a broken path end no process", async () => {
  const harness = new Harness();
  const ended = [1, 2, 3].map(() =>
    harness.reachability.hasEnded(harness.target)
  );
  await harness.settle();
  assert.equal(await Promise.all(ended), [false, false, false]);
});

test("a target that refuses all instances has ended", async () => {
  const harness = new Harness();
  harness.peerReaches = false;
  const ended = harness.reachability.hasEnded(harness.target);
  await harness.settle();
  assert.is(await ended, true);
});

test("a relayed target that can be connected to again is not relayed", async () => {
  const harness = new Harness();
  void harness.reachability.findRelay(harness.target);
  await harness.settle();
  harness.ownResult = ProbeResult.Connected;
  harness.nowMs += 1100;
  harness.receiveHeartbeats();
  assert.is.not(harness.reachability.relayFor(harness.target), undefined);
  await harness.settle();
  assert.is(harness.reachability.relayFor(harness.target), undefined);
});

// Guards against an error that ends the process when an instance closes its
// socket while it probes a target for another instance.
test("a query that is answered after the socket has closed sends nothing", async () => {
  const harness = new Harness();
  const discard = new Writable({ write: (_chunk, _code, done) => done() });
  const log = new EventLog({ nowMs: () => 0 }, "i1", discard);
  const socket = new PeerSocket(log, new GatewayMetrics());
  await socket.open("127.0.0.1:0", () => {});
  harness.send = (address, message) => socket.send(address, message);
  const answered = harness.reachability.answerQuery(
    TARGET_ID,
    {
      ...memberOf("i2", { address: "127.0.0.1:1" }),
      lastHeartbeatAtMs: 0,
    },
  );
  socket.close();
  await answered;
});

test("a relay that left is not used", async () => {
  const harness = new Harness();
  void harness.reachability.findRelay(harness.target);
  await harness.settle();
  const leaving = memberOf("i2", { leaving: true });
  harness.board.members.heartbeatReceived(leaving, harness.nowMs);
  const relay = harness.reachability.relayFor(harness.target);
  assert.is(relay?.instanceId, "i3");
});

test.run();
