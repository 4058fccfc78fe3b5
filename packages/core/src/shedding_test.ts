import {
  type PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DOMAIN, FakeShard, POOL } from "./fake_shard.ts";

const SURGE_COUNT = 150;
const TIERS = [{}, { preemptible: false }, {}, { headroomShare: 0.5 }];

interface Arrival {
  readonly afterMs: number;
  readonly tierRank: number;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly timeLeftMs: number;
  readonly cancellable: boolean;
}

const arrivals = fc.array(
  fc.record<Arrival>({
    afterMs: fc.constantFrom(0, 0, 0, 50, 200),
    tierRank: fc.nat(TIERS.length - 1),
    workspace: fc.constantFrom("fields", "clinics", "plots"),
    promptTokens: fc.constantFrom(50, 400, 5000, 9000),
    expectedOutputTokens: fc.constantFrom(20, 100, 300),
    timeLeftMs: fc.integer({ min: 300, max: 8000 }),
    cancellable: fc.boolean(),
  }),
  { minLength: 10, maxLength: 80 },
);

const lags = fc.record({
  reportAgeMs: fc.constantFrom(0, 20, 300, 1000),
  cancelMs: fc.constantFrom(0, 50, 400),
});

/** Checks a message against the shard's state after the event that sent it. */
function checkMessage(fake: FakeShard, message: PeerMessage): void {
  if (message.kind === PeerMessageKind.AskRefused) {
    if (message.error === ErrorKind.Overloaded) {
      checkRefusal(fake, tierOf(message.requestId));
    } else {
      checkNeverQueued(fake, message.requestId);
    }
  } else if (message.kind === PeerMessageKind.Grant) {
    checkGrant(fake, tierOf(message.requestId));
  } else if (message.kind === PeerMessageKind.Preempt) {
    checkPreemption(fake, tierOf(message.requestId));
  }
}

/** A preempted stream counts as shed, so no ask of a lower tier may wait. */
function checkPreemption(fake: FakeShard, tierRank: number): void {
  for (const { detail } of fake.shard.waiting.values()) {
    assert.ok(
      detail.tierRank <= tierRank,
      `${detail.requestId} of a lower tier waits`,
    );
  }
}

/** Only asks that were never queued may be refused other than for overload. */
function checkNeverQueued(fake: FakeShard, requestId: string): void {
  const wasQueued = fake.of(PeerMessageKind.AskQueued)
    .some((queued) => queued.requestId === requestId);
  assert.not(wasQueued, `${requestId} was queued, then found unservable`);
}

function checkRefusal(fake: FakeShard, tierRank: number): void {
  for (const { detail } of fake.shard.waiting.values()) {
    assert.ok(
      detail.tierRank <= tierRank,
      `${detail.requestId} of a lower tier waits`,
    );
  }
  for (const { work, preempted } of fake.shard.grants.values()) {
    const isPreemptible = work.cancellable &&
      TIERS[work.tierRank].preemptible !== false;
    assert.ok(
      work.tierRank <= tierRank || preempted || !isPreemptible,
      `${work.requestId} runs below the refused tier ${tierRank}`,
    );
  }
}

function checkGrant(fake: FakeShard, tierRank: number): void {
  const { targets } = fake.board.settings.inForce!;
  for (const { detail, kvTokens } of fake.shard.waiting.values()) {
    const couldRun = [...targets.values()].some((target) =>
      kvTokens <= target.kvTokens
    );
    assert.not(detail.tierRank < tierRank && couldRun, "a higher tier waits");
  }
  for (const target of targets.values()) {
    const here = [...fake.shard.grants.values()].filter(({ work }) =>
      work.targetId === target.id
    );
    const kvTokens = here.reduce((sum, grant) => sum + grant.kvTokens, 0);
    assert.ok(here.length <= target.slots, "slots are within bounds");
    assert.ok(kvTokens <= target.kvTokens, "KV memory is within bounds");
  }
}

function tierOf(requestId: string): number {
  return Number(requestId.split("/")[1]);
}

test("should shed the lowest tier first and respect tier order and capacity in every surge", () => {
  let refused = 0;
  let preempted = 0;
  fc.assert(
    fc.property(arrivals, lags, (surge, lag) => {
      const fake = new FakeShard({
        targets: [{}, { slots: 4, kvTokens: 6000 }],
        tiers: TIERS,
        runsWork: true,
      });
      Object.assign(fake, lag);
      fake.onSent = (message) => checkMessage(fake, message);
      surge.forEach(({ afterMs, ...ask }, index) => {
        fake.advance(afterMs);
        fake.ask({ ...ask, requestId: `r${index}/${ask.tierRank}` });
      });
      fake.advance(12_000);
      assert.is(fake.shard.waiting.size, 0, "nothing is left waiting");
      assert.is(fake.shard.grants.size, 0, "no grant is left");
      refused += fake.of(PeerMessageKind.AskRefused)
        .filter(({ error }) => error === ErrorKind.Overloaded).length;
      preempted += fake.of(PeerMessageKind.Preempt).length;
    }),
    {
      seed: 20_261,
      numRuns: SURGE_COUNT,
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
  assert.ok(
    refused > SURGE_COUNT,
    `the surges cause overload: ${refused} refused`,
  );
  assert.ok(preempted > SURGE_COUNT / 10, `higher tiers preempt: ${preempted}`);
});

test("should refuse waiting asks below the tier it preempts, and preempt the stream with the least progress", () => {
  const fake = new FakeShard({
    targets: [{}],
    tiers: [{}, {}, {}],
    runsWork: true,
  });
  const long = { tierRank: 1, expectedOutputTokens: 900, timeLeftMs: 60_000 };
  fake.ask({ ...long, requestId: "old" });
  fake.advance(500);
  fake.ask({ ...long, requestId: "young" });
  fake.ask({ ...long, requestId: "same" });
  fake.ask({ requestId: "lowest", tierRank: 2, timeLeftMs: 60_000 });
  fake.ask({ requestId: "urgent", timeLeftMs: 2000 });
  fake.advance(1000);
  const order = fake.sent.flatMap((message) =>
    message.kind === PeerMessageKind.AskRefused ||
      message.kind === PeerMessageKind.Preempt
      ? [`${message.kind} ${message.requestId}`]
      : []
  );
  assert.equal(order, ["ask_refused lowest", "preempt young"]);
  assert.is(fake.grants.at(-1)?.requestId, "urgent");
  assert.ok(
    fake.shard.waiting.has("same"),
    "asks of the preempted tier keep waiting",
  );
});

test("should refuse asks on arrival whose wait exceeds their slack, with a hint that grows with the backlog", () => {
  const fake = new FakeShard({ targets: [{}], runsWork: true });
  for (let i = 0; i < 40; i++) {
    fake.ask({ requestId: `r${i}`, timeLeftMs: 6000 });
  }
  const refusals = fake.of(PeerMessageKind.AskRefused);
  assert.ok(refusals.length > 20);
  for (const { error, retryAfterMs } of refusals) {
    assert.is(error, ErrorKind.Overloaded);
    assert.ok(retryAfterMs >= 500);
  }
  assert.ok(refusals[0].retryAfterMs > 2000, "the backlog shows in the hint");
});

test("should distinguish a deadline that no idle target meets from a shard without a suitable target", () => {
  const fake = new FakeShard({ targets: [{}] });
  fake.ask({ requestId: "late", timeLeftMs: 900 });
  fake.ask({ requestId: "huge", promptTokens: 50_000 });
  fake.ask({ requestId: "excluded", excludedTargetIds: ["t0"] });
  assert.equal(
    fake.of(PeerMessageKind.AskRefused).map(({ error }) => error),
    [ErrorKind.DeadlineUnreachable, ErrorKind.NoTarget, ErrorKind.NoTarget],
  );
  assert.is(fake.grants.length, 0);
});

test("should not extend a floor by the refusals that it causes", () => {
  const fake = new FakeShard({ targets: [{}], tiers: [{}, {}, {}] });
  const shed = (tierRank: number) =>
    fake.receive({
      kind: PeerMessageKind.ShedBelow,
      pool: POOL,
      failureDomain: DOMAIN,
      tierRank,
    });
  fake.ask({ requestId: "begins" });
  shed(0);
  fake.advance(1500);
  shed(1);
  fake.advance(600);
  fake.ask({ requestId: "middle", tierRank: 1 });
  assert.is(fake.grants.at(-1)?.requestId, "middle");
});

test.run();
