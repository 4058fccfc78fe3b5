/** Checks in every session what must hold in all of them. */

import { readdirSync } from "node:fs";
import {
  type Effect,
  EffectKind,
  type EffectOf,
} from "@chestnuthatch/core/effects";
import { EventKind } from "@chestnuthatch/core/events";
import type { Refusal, RequestSpec } from "@chestnuthatch/core/request";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UntimedEvent } from "./core_net.ts";
import {
  EntryKind,
  recordSession,
  type SessionEntry,
  sessionNames,
  SESSIONS_URL,
} from "./session_driver.ts";

/** An outcome that a caller was told; its place is an index of the record. */
interface ToldOutcome {
  readonly place: number;
  readonly ran?: RunState;
}

interface Call {
  readonly spec: RequestSpec;
  readonly instanceId: string;
  readonly place: number;
  readonly outcomes: ToldOutcome[];
  /** Whether its instance died before it was told an outcome. */
  isLost: boolean;
}

interface SentDispatch {
  readonly requestId: string;
  readonly attemptNonce: string;
  readonly place: number;
  /** Where it was found that no byte of it had left. */
  notSentPlace: number;
}

/** A session's record, in the words of the checks. */
interface Story {
  readonly calls: Map<string, Call>;
  readonly dispatches: SentDispatch[];
  /** Names of the keys under which a claim was written. */
  readonly claimedKeys: Set<string>;
  readonly versions: Map<string, number[]>;
  /** Outcomes told to calls that never came. */
  readonly strayOutcomes: string[];
}

type Check = (story: Story) => string[];

const CHECKS: Readonly<Record<string, Check>> = {
  "dispatched once": findSecondDispatches,
  "one outcome a call": findWrongOutcomes,
  "no dispatch after the end": findDispatchesAfterEnd,
  "not run means not run": findFalseNotRun,
  "versions never go down": findVersionsGoingDown,
};

function breachesOf(entries: readonly SessionEntry[]): string[] {
  const story = readStory(entries);
  return Object.entries(CHECKS).flatMap(([name, check]) =>
    check(story).map((breach) => `${name}: ${breach}`)
  );
}

function readStory(entries: readonly SessionEntry[]): Story {
  const story: Story = {
    calls: new Map(),
    dispatches: [],
    claimedKeys: new Set(),
    versions: new Map(),
    strayOutcomes: [],
  };
  entries.forEach((entry, place) => {
    switch (entry.kind) {
      case EntryKind.Event:
        return noteEvent(story, entry, place);
      case EntryKind.Death:
        return noteDeath(story, entry.instanceId);
      case EntryKind.Effect:
        return noteEffect(story, entry, place);
    }
  });
  return story;
}

function noteEvent(
  { calls, dispatches }: Story,
  { instanceId, event }: { instanceId: string; event: UntimedEvent },
  place: number,
): void {
  if (event.kind === EventKind.RequestArrived) {
    const { spec } = event;
    const call = { spec, instanceId, place, outcomes: [], isLost: false };
    calls.set(spec.requestId, call);
  }
  if (event.kind === EventKind.DispatchNotSent) {
    const sent = dispatches.find((each) =>
      each.attemptNonce === event.attemptNonce
    );
    if (sent !== undefined) {
      sent.notSentPlace = Math.min(sent.notSentPlace, place);
    }
  }
}

function noteDeath({ calls }: Story, instanceId: string): void {
  for (const call of calls.values()) {
    if (call.instanceId === instanceId) {
      call.isLost ||= call.outcomes.length === 0;
    }
  }
}

function noteEffect(
  story: Story,
  { instanceId, effect }: { instanceId: string; effect: Effect },
  place: number,
): void {
  switch (effect.kind) {
    case EffectKind.Dispatch:
      story.dispatches.push({ ...effect, place, notSentPlace: Infinity });
      break;
    case EffectKind.AnswerCaller:
      noteOutcome(story, effect, { place });
      break;
    case EffectKind.RefuseCaller:
      noteOutcome(story, effect, { place, ran: effect.refusal.ran });
      break;
    case EffectKind.WriteClaim: {
      const call = story.calls.get(effect.requestId);
      if (call !== undefined) story.claimedKeys.add(keyOf(call.spec)!);
      break;
    }
    case EffectKind.SettingsInForce: {
      const versions = story.versions.get(instanceId) ?? [];
      story.versions.set(instanceId, [...versions, effect.version]);
      break;
    }
  }
}

function noteOutcome(
  { calls, strayOutcomes }: Story,
  { requestId }: { requestId: string },
  outcome: ToldOutcome,
): void {
  const call = calls.get(requestId);
  if (call === undefined) strayOutcomes.push(requestId);
  else call.outcomes.push(outcome);
}

/** Names the key of a call, as one workspace uses it for one content. */
function keyOf(spec: RequestSpec): string | undefined {
  const { workspace, idempotencyKey, contentHash } = spec;
  return idempotencyKey && `${workspace}/${idempotencyKey}/${contentHash}`;
}

/**
 * Lists the calls that stand for the same work: those of one key, at all
 * instances where the key is claimed, else at one.
 */
function sameWork({ calls, claimedKeys }: Story, call: Call): Call[] {
  const key = keyOf(call.spec);
  if (key === undefined) return [call];
  return [...calls.values()].filter((other) =>
    keyOf(other.spec) === key &&
    (claimedKeys.has(key) || other.instanceId === call.instanceId)
  );
}

function dispatchesOf(story: Story, calls: readonly Call[]): SentDispatch[] {
  const ids = new Set(calls.map(({ spec }) => spec.requestId));
  return story.dispatches.filter(({ requestId }) => ids.has(requestId));
}

function findSecondDispatches(story: Story): string[] {
  const breaches = new Set<string>();
  for (const call of story.calls.values()) {
    const key = keyOf(call.spec);
    const isClaimed = key !== undefined && story.claimedKeys.has(key);
    const sent = dispatchesOf(
      story,
      isClaimed ? sameWork(story, call) : [call],
    );
    sent.slice(1).forEach((second, index) => {
      if (sent[index].notSentPlace > second.place) {
        breaches.add(
          `${second.attemptNonce} after ${sent[index].attemptNonce}`,
        );
      }
    });
  }
  return [...breaches];
}

function findWrongOutcomes({ calls, strayOutcomes }: Story): string[] {
  const wrong = [...calls.values()].filter(({ outcomes, isLost }) =>
    outcomes.length !== (isLost ? 0 : 1)
  );
  return [
    ...wrong.map(({ spec, outcomes }) =>
      `${spec.requestId} was told ${outcomes.length} outcomes`
    ),
    ...strayOutcomes.map((id) => `${id} is no call`),
  ];
}

/** A request may go on for one of its calls when another was refused. */
function findDispatchesAfterEnd(story: Story): string[] {
  return story.dispatches.filter(({ requestId, place }) => {
    const call = story.calls.get(requestId);
    const isOpen = ({ outcomes, place: calledPlace }: Call) =>
      calledPlace < place && !outcomes.some((told) => told.place < place);
    return call === undefined || !sameWork(story, call).some(isOpen);
  }).map(({ attemptNonce }) => attemptNonce);
}

function findFalseNotRun(story: Story): string[] {
  return [...story.calls.values()].filter((call) => {
    const told = call.outcomes.find(({ ran }) => ran === RunState.NotRun);
    if (told === undefined) return false;
    // A call that came after the refusal is a new try.
    const before = sameWork(story, call).filter(({ place }) =>
      place < told.place
    );
    return dispatchesOf(story, before).some(({ notSentPlace }) =>
      notSentPlace === Infinity
    );
  }).map(({ spec }) => `${spec.requestId} was told so`);
}

function findVersionsGoingDown({ versions }: Story): string[] {
  return [...versions].flatMap(([instanceId, taken]) =>
    taken.slice(1).flatMap((version, index) =>
      version < taken[index]
        ? [`${instanceId} from ${taken[index]} to ${version}`]
        : []
    )
  );
}

for (const name of sessionNames(readdirSync(SESSIONS_URL))) {
  test(`should keep every promise in ${name}`, () => {
    assert.equal(breachesOf(recordSession(name).entries), []);
  });
}

function placeOf(
  entries: readonly SessionEntry[],
  kind: EffectKind,
  requestId: string,
): number {
  return entries.findIndex((entry) =>
    entry.kind === EntryKind.Effect && entry.effect.kind === kind &&
    "requestId" in entry.effect && entry.effect.requestId === requestId
  );
}

function effectAt<K extends EffectKind>(
  entries: readonly SessionEntry[],
  place: number,
): EffectOf<K> {
  const entry = entries[place];
  assert.ok(entry?.kind === EntryKind.Effect);
  return entry.effect as EffectOf<K>;
}

function effectEntry(effect: Effect): SessionEntry {
  return { kind: EntryKind.Effect, atMs: 0, instanceId: "njiro-1", effect };
}

function refusalEntry(requestId: string, ran: RunState): SessionEntry {
  const refusal: Refusal = {
    requestId,
    error: ErrorKind.Internal,
    ran,
    message: "",
    mayRetry: false,
    callLog: [],
  };
  return effectEntry({ kind: EffectKind.RefuseCaller, requestId, refusal });
}

/** Gives a sound record with one entry put in the place of another. */
function doctored(
  name: string,
  change: (entries: SessionEntry[]) => void,
): string[] {
  const entries = [...recordSession(name).entries];
  assert.equal(breachesOf(entries), []);
  change(entries);
  return breachesOf(entries);
}

test("should find a second dispatch of a request", () => {
  const breaches = doctored("life_one_instance", (entries) => {
    const place = placeOf(entries, EffectKind.Dispatch, "plan-1");
    const first = effectAt<EffectKind.Dispatch>(entries, place);
    const second = { ...first, attemptNonce: "second" };
    entries.splice(place + 1, 0, effectEntry(second));
  });
  assert.equal(breaches, ["dispatched once: second after njiro-1.1.1.1"]);
});

test("should find a second dispatch where the first was sent after all", () => {
  const breaches = doctored("dispatch_not_sent", (entries) => {
    const place = entries.findIndex((entry) =>
      entry.kind === EntryKind.Event &&
      entry.event.kind === EventKind.DispatchNotSent
    );
    entries.splice(place, 1);
  });
  assert.ok(
    breaches.includes("dispatched once: njiro-1.1.1.2 after njiro-1.1.1.1"),
  );
});

test("should find a second dispatch under a claimed key", () => {
  const breaches = doctored("key_elsewhere", (entries) => {
    const place = placeOf(entries, EffectKind.Dispatch, "post-1");
    const first = effectAt<EffectKind.Dispatch>(entries, place);
    const second = { ...first, requestId: "post-2", attemptNonce: "second" };
    const endPlace = placeOf(entries, EffectKind.AnswerCaller, "post-2");
    entries.splice(endPlace, 0, effectEntry(second));
  });
  assert.equal(breaches, ["dispatched once: second after njiro-1.1.1.1"]);
});

test("should find a call without an outcome, unless its instance died", () => {
  const drop = (entries: SessionEntry[]) => {
    const place = placeOf(entries, EffectKind.AnswerCaller, "plan-1");
    entries.splice(place, 1);
  };
  assert.equal(doctored("life_one_instance", drop), [
    "one outcome a call: plan-1 was told 0 outcomes",
  ]);
  const dead: SessionEntry = { kind: EntryKind.Death, instanceId: "njiro-1" };
  const breaches = doctored("life_one_instance", (entries) => {
    drop(entries);
    entries.push(dead);
  });
  assert.equal(breaches, []);
});

test("should find a second outcome, and one that nobody asked for", () => {
  const breaches = doctored("life_one_instance", (entries) => {
    entries.push(refusalEntry("plan-1", RunState.MayHaveRun));
    entries.push(refusalEntry("plan-9", RunState.MayHaveRun));
  });
  assert.equal(breaches, [
    "one outcome a call: plan-1 was told 2 outcomes",
    "one outcome a call: plan-9 is no call",
  ]);
});

test("should find a dispatch after a refusal", () => {
  const breaches = doctored("life_one_instance", (entries) => {
    const endPlace = placeOf(entries, EffectKind.AnswerCaller, "plan-1");
    entries.splice(endPlace, 1);
    const place = placeOf(entries, EffectKind.Dispatch, "plan-1");
    entries.splice(place, 0, refusalEntry("plan-1", RunState.MayHaveRun));
  });
  assert.equal(breaches, ["no dispatch after the end: njiro-1.1.1.1"]);
});

test("should find a request told not run that was dispatched", () => {
  const breaches = doctored("life_one_instance", (entries) => {
    const place = placeOf(entries, EffectKind.AnswerCaller, "plan-1");
    entries[place] = refusalEntry("plan-1", RunState.NotRun);
  });
  assert.equal(breaches, ["not run means not run: plan-1 was told so"]);
});

test("should find a joined call told not run whose key was dispatched", () => {
  const breaches = doctored("key_joined", (entries) => {
    const place = placeOf(entries, EffectKind.AnswerCaller, "post-2");
    entries[place] = refusalEntry("post-2", RunState.NotRun);
  });
  assert.equal(breaches, ["not run means not run: post-2 was told so"]);
});

test("should find a version of the settings that goes down", () => {
  const breaches = doctored("settings_cut_off", (entries) => {
    const kind = EffectKind.SettingsInForce;
    entries.push(effectEntry({ kind, version: 4 }));
  });
  assert.equal(breaches, ["versions never go down: njiro-1 from 5 to 4"]);
});

test.run();
