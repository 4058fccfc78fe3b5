import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GracefulStop, type StoppingServer } from "./graceful_stop.ts";

const GRACE_MS = 8000;

/** A server whose time passes while it is waited for, and what happened when. */
class Scene implements StoppingServer {
  atMs = 0;
  graceMs = GRACE_MS;
  readonly seen: [string, number][] = [];
  /** When the last request ends, and when its answer is written out. */
  doneAtMs = 0;
  writtenAtMs = 0;
  /** Whether the caller of the last request has got a part of its answer. */
  hasBegun = false;

  get openCount(): number {
    return this.atMs < this.doneAtMs ? 1 : 0;
  }

  get connections() {
    const owedAnswers = this.atMs < this.writtenAtMs ? 1 : 0;
    return { openConnections: owedAnswers, owedAnswers, waitingBytes: 0 };
  }

  announceClosing(): void {
    this.#note("announced");
  }

  refuseRequests(): void {
    this.#note("refused");
  }

  abortRequests(): void {
    this.#note("aborted");
    if (!this.hasBegun) {
      this.doneAtMs = Math.min(this.doneAtMs, this.atMs);
    }
  }

  breakOffAnswers(): void {
    this.#note("broken off");
    this.doneAtMs = Math.min(this.doneAtMs, this.atMs);
  }

  async stop(): Promise<number> {
    const clock = { nowMs: () => this.atMs };
    const nowhere = new Writable({ write: (_chunk, _code, done) => done() });
    await new GracefulStop({
      front: this,
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

  #note(what: string): void {
    if (this.seen.at(-1)?.[0] !== what) {
      this.seen.push([what, this.atMs]);
    }
  }
}

test("an instance with nothing to do stays until callers go elsewhere", async () => {
  const scene = new Scene();
  const endedAtMs = await scene.stop();
  assert.ok(endedAtMs >= 3000 && endedAtMs < 4000, String(endedAtMs));
  assert.equal(scene.seen.map(([what]) => what), [
    "announced",
    "refused",
    "aborted",
  ]);
});

test("an answer that is not written out is waited for", async () => {
  const scene = new Scene();
  scene.writtenAtMs = 5000;
  const endedAtMs = await scene.stop();
  assert.ok(endedAtMs >= 5000 && endedAtMs < 6000, String(endedAtMs));
});

test("what outlasts the grace time is told so before the kill", async () => {
  const scene = new Scene();
  scene.doneAtMs = Infinity;
  scene.writtenAtMs = 7650;
  const endedAtMs = await scene.stop();
  const [, abortedAtMs] = scene.seen.at(-1)!;
  assert.ok(abortedAtMs >= 7400 && abortedAtMs < 7650, String(abortedAtMs));
  assert.ok(endedAtMs >= 7650 && endedAtMs < GRACE_MS, String(endedAtMs));
});

// Guards against breaking off answers to slow callers while there is still time.
test("an answer that has begun gets the time until the process ends", async () => {
  const scene = new Scene();
  scene.hasBegun = true;
  scene.doneAtMs = 7790;
  scene.writtenAtMs = 7790;
  const endedAtMs = await scene.stop();
  assert.ok(endedAtMs >= 7790 && endedAtMs < GRACE_MS, String(endedAtMs));
  assert.equal(scene.seen.map(([what]) => what), [
    "announced",
    "refused",
    "aborted",
  ]);
});

test("an answer that never ends is broken off before the kill", async () => {
  const scene = new Scene();
  scene.hasBegun = true;
  scene.doneAtMs = Infinity;
  scene.writtenAtMs = Infinity;
  const endedAtMs = await scene.stop();
  assert.equal(scene.seen.at(-1), ["broken off", endedAtMs]);
  assert.ok(endedAtMs >= 7800 && endedAtMs < GRACE_MS, String(endedAtMs));
});

test("with little grace time, requests are refused in time to finish", async () => {
  const scene = new Scene();
  scene.graceMs = 3000;
  scene.doneAtMs = 2000;
  const endedAtMs = await scene.stop();
  assert.equal(scene.seen, [
    ["announced", 0],
    ["refused", 1000],
    ["aborted", 2500],
  ]);
  assert.is(endedAtMs, 2500);
});

test("a caller that never reads does not hold the process past the kill", async () => {
  const scene = new Scene();
  scene.writtenAtMs = Infinity;
  const endedAtMs = await scene.stop();
  assert.ok(endedAtMs < GRACE_MS, String(endedAtMs));
});

test.run();
