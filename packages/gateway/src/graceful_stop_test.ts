import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GracefulStop, type StoppingServer } from "./graceful_stop.ts";

const GRACE_MS = 8000;

/** A server on a clock that `pause` advances; records calls with their time. */
class FakeServer implements StoppingServer {
  atMs = 0;
  graceMs = GRACE_MS;
  readonly events: [string, number][] = [];
  /** Local times when the last request ends and its answer is written out. */
  doneAtMs = 0;
  writtenAtMs = 0;
  /** Whether the answer to the last request has begun. */
  hasBegun = false;

  get openCount(): number {
    return this.atMs < this.doneAtMs ? 1 : 0;
  }

  get connections() {
    const owedAnswers = this.atMs < this.writtenAtMs ? 1 : 0;
    return { openConnections: owedAnswers, owedAnswers, waitingBytes: 0 };
  }

  announceClosing(): void {
    this.#record("announced");
  }

  refuseRequests(): void {
    this.#record("refused");
  }

  abortRequests(): void {
    this.#record("aborted");
    if (!this.hasBegun) {
      this.doneAtMs = Math.min(this.doneAtMs, this.atMs);
    }
  }

  refuseUnread(): Promise<void> {
    return Promise.resolve();
  }

  abortAnswers(): void {
    this.#record("broken off");
    this.doneAtMs = Math.min(this.doneAtMs, this.atMs);
  }

  async stop(): Promise<number> {
    const clock = { nowMs: () => this.atMs };
    const nowhere = new Writable({ write: (_chunk, _code, done) => done() });
    await new GracefulStop({
      front: this,
      relay: { openCount: 0 },
      clock,
      log: new EventLog(clock, "i1", nowhere),
      graceMs: () => this.graceMs,
      pause: (forMs) => {
        this.atMs += forMs;
        return Promise.resolve();
      },
    }).run();
    return this.atMs;
  }

  #record(what: string): void {
    if (this.events.at(-1)?.[0] !== what) {
      this.events.push([what, this.atMs]);
    }
  }
}

test("an idle instance stays until the load balancer routes callers elsewhere", async () => {
  const server = new FakeServer();
  const endedAtMs = await server.stop();
  assert.ok(endedAtMs >= 3000 && endedAtMs < 4000, String(endedAtMs));
  assert.equal(server.events.map(([what]) => what), [
    "announced",
    "refused",
    "aborted",
  ]);
});

test("the stop waits until answers are written out", async () => {
  const server = new FakeServer();
  server.writtenAtMs = 5000;
  const endedAtMs = await server.stop();
  assert.ok(endedAtMs >= 5000 && endedAtMs < 6000, String(endedAtMs));
});

test("requests that outlast the grace period end with an error before the kill", async () => {
  const server = new FakeServer();
  server.doneAtMs = Infinity;
  server.writtenAtMs = 7650;
  const endedAtMs = await server.stop();
  const [, abortedAtMs] = server.events.at(-1)!;
  assert.ok(abortedAtMs >= 7400 && abortedAtMs < 7650, String(abortedAtMs));
  assert.ok(endedAtMs >= 7650 && endedAtMs < GRACE_MS, String(endedAtMs));
});

// Guards against aborting answers to slow callers while time is left.
test("an answer that has begun gets the time until the process ends", async () => {
  const server = new FakeServer();
  server.hasBegun = true;
  server.doneAtMs = 7790;
  server.writtenAtMs = 7790;
  const endedAtMs = await server.stop();
  assert.ok(endedAtMs >= 7790 && endedAtMs < GRACE_MS, String(endedAtMs));
  assert.equal(server.events.map(([what]) => what), [
    "announced",
    "refused",
    "aborted",
  ]);
});

test("an answer that never ends is aborted before the kill", async () => {
  const server = new FakeServer();
  server.hasBegun = true;
  server.doneAtMs = Infinity;
  server.writtenAtMs = Infinity;
  const endedAtMs = await server.stop();
  assert.equal(server.events.at(-1), ["broken off", endedAtMs]);
  assert.ok(endedAtMs >= 7800 && endedAtMs < GRACE_MS, String(endedAtMs));
});

test("with a short grace period, requests are refused in time to finish others", async () => {
  const server = new FakeServer();
  server.graceMs = 3000;
  server.doneAtMs = 2000;
  const endedAtMs = await server.stop();
  assert.equal(server.events, [
    ["announced", 0],
    ["refused", 1000],
    ["aborted", 2500],
  ]);
  assert.is(endedAtMs, 2500);
});

test("a caller that never reads does not delay the end past the kill", async () => {
  const server = new FakeServer();
  server.writtenAtMs = Infinity;
  const endedAtMs = await server.stop();
  assert.ok(endedAtMs < GRACE_MS, String(endedAtMs));
});

test.run();
