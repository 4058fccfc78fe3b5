/** Checks the invariants of requests and settings in every session file. */

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
import type { UntimedEvent } from "./simulated_fleet.ts";
import {
  EntryKind,
  recordSession,
  type SessionEntry,
  sessionNames,
  SESSIONS_URL,
} from "./session_driver.ts";

/** Outcome that a caller received, with its index in the session's record. */
interface ReportedOutcome {
  readonly index: number;
  readonly ran?: RunState;
}

interface Call {
  readonly spec: RequestSpec;
  readonly instanceId: string;
  readonly index: number;
  readonly outcomes: ReportedOutcome[];
  /** Whether its instance died before the caller received an outcome. */
  isLost: boolean;
}

interface SentDispatch {
  readonly requestId: string;
  readonly attemptNonce: string;
  readonly index: number;
  /**
   * Index of the entry which states that no byte of the dispatch was sent;
   * `Infinity` where there is none.
   */
  notSentIndex: number;
}

/** Record of a session, grouped for the invariant checks. */
interface SessionHistory {
  readonly calls: Map<string, Call>;
  readonly dispatches: SentDispatch[];
  /** Claim keys of all calls for which a claim was written. */
  readonly claimedKeys: Set<string>;
  readonly versions: Map<string, number[]>;
  /** Request ids of outcomes without a call. */
  readonly strayOutcomes: string[];
}

type InvariantCheck = (history: SessionHistory) => string[];

const INVARIANT_CHECKS: Readonly<Record<string, InvariantCheck>> = {
  "dispatched once": findSecondDispatches,
  "one outcome a call": findWrongOutcomes,
  "no dispatch after the end": findDispatchesAfterEnd,
  "not run means not run": findFalseNotRun,
  "versions never go down": findVersionsGoingDown,
};

function findViolations(entries: readonly SessionEntry[]): string[] {
  const history = buildHistory(entries);
  return Object.entries(INVARIANT_CHECKS).flatMap(([name, check]) =>
    check(history).map((violation) => `${name}: ${violation}`)
  );
}

function buildHistory(entries: readonly SessionEntry[]): SessionHistory {
  const history: SessionHistory = {
    calls: new Map(),
    dispatches: [],
    claimedKeys: new Set(),
    versions: new Map(),
    strayOutcomes: [],
  };
  entries.forEach((entry, index) => {
    switch (entry.kind) {
      case EntryKind.Event:
        return recordEvent(history, entry, index);
      case EntryKind.Death:
        return recordDeath(history, entry.instanceId);
      case EntryKind.Effect:
        return recordEffect(history, entry, index);
    }
  });
  return history;
}

function recordEvent(
  { calls, dispatches }: SessionHistory,
  { instanceId, event }: { instanceId: string; event: UntimedEvent },
  index: number,
): void {
  if (event.kind === EventKind.RequestArrived) {
    const { spec } = event;
    const call = { spec, instanceId, index, outcomes: [], isLost: false };
    calls.set(spec.requestId, call);
  }
  if (event.kind === EventKind.DispatchNotSent) {
    const sent = dispatches.find((each) =>
      each.attemptNonce === event.attemptNonce
    );
    if (sent !== undefined) {
      sent.notSentIndex = Math.min(sent.notSentIndex, index);
    }
  }
}

function recordDeath({ calls }: SessionHistory, instanceId: string): void {
  for (const call of calls.values()) {
    if (call.instanceId === instanceId) {
      call.isLost ||= call.outcomes.length === 0;
    }
  }
}

function recordEffect(
  history: SessionHistory,
  { instanceId, effect }: { instanceId: string; effect: Effect },
  index: number,
): void {
  switch (effect.kind) {
    case EffectKind.Dispatch:
      history.dispatches.push({ ...effect, index, notSentIndex: Infinity });
      break;
    case EffectKind.AnswerCaller:
      recordOutcome(history, effect, { index });
      break;
    case EffectKind.RefuseCaller:
      recordOutcome(history, effect, { index, ran: effect.refusal.ran });
      break;
    case EffectKind.WriteClaim: {
      const call = history.calls.get(effect.requestId);
      if (call !== undefined) history.claimedKeys.add(claimKey(call.spec)!);
      break;
    }
    case EffectKind.SettingsInForce: {
      const versions = history.versions.get(instanceId) ?? [];
      history.versions.set(instanceId, [...versions, effect.version]);
      break;
    }
  }
}

function recordOutcome(
  { calls, strayOutcomes }: SessionHistory,
  { requestId }: { requestId: string },
  outcome: ReportedOutcome,
): void {
  const call = calls.get(requestId);
  if (call === undefined) strayOutcomes.push(requestId);
  else call.outcomes.push(outcome);
}

/** Returns the key of a call; equal for equal work of one workspace. */
function claimKey(spec: RequestSpec): string | undefined {
  const { workspace, idempotencyKey, contentHash } = spec;
  return idempotencyKey && `${workspace}/${idempotencyKey}/${contentHash}`;
}

/**
 * Lists the calls for the same work as a call: those under the same key, at all
 * instances if the key was claimed, otherwise at the call's own instance.
 */
function findCallsForSameWork(
  { calls, claimedKeys }: SessionHistory,
  call: Call,
): Call[] {
  const key = claimKey(call.spec);
  if (key === undefined) return [call];
  return [...calls.values()].filter((other) =>
    claimKey(other.spec) === key &&
    (claimedKeys.has(key) || other.instanceId === call.instanceId)
  );
}

function findDispatches(
  history: SessionHistory,
  calls: readonly Call[],
): SentDispatch[] {
  const ids = new Set(calls.map(({ spec }) => spec.requestId));
  return history.dispatches.filter(({ requestId }) => ids.has(requestId));
}

function findSecondDispatches(history: SessionHistory): string[] {
  const violations = new Set<string>();
  for (const call of history.calls.values()) {
    const key = claimKey(call.spec);
    const isClaimed = key !== undefined && history.claimedKeys.has(key);
    const sent = findDispatches(
      history,
      isClaimed ? findCallsForSameWork(history, call) : [call],
    );
    sent.slice(1).forEach((second, index) => {
      if (sent[index].notSentIndex > second.index) {
        violations.add(
          `${second.attemptNonce} after ${sent[index].attemptNonce}`,
        );
      }
    });
  }
  return [...violations];
}

function findWrongOutcomes({ calls, strayOutcomes }: SessionHistory): string[] {
  const wrong = [...calls.values()].filter(({ outcomes, isLost }) =>
    outcomes.length !== (isLost ? 0 : 1)
  );
  return [
    ...wrong.map(({ spec, outcomes }) =>
      `${spec.requestId} received ${outcomes.length} outcomes`
    ),
    ...strayOutcomes.map((id) => `${id} has no call`),
  ];
}

/** A request may continue for one of its calls after another was refused. */
function findDispatchesAfterEnd(history: SessionHistory): string[] {
  return history.dispatches.filter(({ requestId, index }) => {
    const call = history.calls.get(requestId);
    const isOpen = ({ outcomes, index: callIndex }: Call) =>
      callIndex < index && !outcomes.some((outcome) => outcome.index < index);
    return call === undefined ||
      !findCallsForSameWork(history, call).some(isOpen);
  }).map(({ attemptNonce }) => attemptNonce);
}

function findFalseNotRun(history: SessionHistory): string[] {
  return [...history.calls.values()].filter((call) => {
    const refusal = call.outcomes.find(({ ran }) => ran === RunState.NotRun);
    if (refusal === undefined) return false;
    // A call that arrived after the refusal is a new attempt.
    const before = findCallsForSameWork(history, call).filter(({ index }) =>
      index < refusal.index
    );
    return findDispatches(history, before).some((
      { notSentIndex: notSentPlace },
    ) => notSentPlace === Infinity);
  }).map(({ spec }) => `${spec.requestId} was dispatched`);
}

function findVersionsGoingDown({ versions }: SessionHistory): string[] {
  return [...versions].flatMap(([instanceId, applied]) =>
    applied.slice(1).flatMap((version, index) =>
      version < applied[index]
        ? [`${instanceId} from ${applied[index]} to ${version}`]
        : []
    )
  );
}

for (const name of sessionNames(readdirSync(SESSIONS_URL))) {
  test(`should hold every invariant in ${name}`, () => {
    assert.equal(findViolations(recordSession(name).entries), []);
  });
}

function indexOfEffect(
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
  index: number,
): EffectOf<K> {
  const entry = entries[index];
  assert.ok(entry?.kind === EntryKind.Effect);
  return entry.effect as EffectOf<K>;
}

function makeEffectEntry(effect: Effect): SessionEntry {
  return { kind: EntryKind.Effect, atMs: 0, instanceId: "njiro-1", effect };
}

function makeRefusalEntry(requestId: string, ran: RunState): SessionEntry {
  const refusal: Refusal = {
    requestId,
    error: ErrorKind.Internal,
    ran,
    message: "",
    mayRetry: false,
    callLog: [],
  };
  return makeEffectEntry({ kind: EffectKind.RefuseCaller, requestId, refusal });
}

/** Changes the entries of a session without violations and checks them. */
function violationsAfterChange(
  name: string,
  change: (entries: SessionEntry[]) => void,
): string[] {
  const entries = [...recordSession(name).entries];
  assert.equal(findViolations(entries), []);
  change(entries);
  return findViolations(entries);
}

test("should find a second dispatch of a request", () => {
  const violations = violationsAfterChange("life_one_instance", (entries) => {
    const index = indexOfEffect(entries, EffectKind.Dispatch, "plan-1");
    const first = effectAt<EffectKind.Dispatch>(entries, index);
    const second = { ...first, attemptNonce: "second" };
    entries.splice(index + 1, 0, makeEffectEntry(second));
  });
  assert.equal(violations, ["dispatched once: second after njiro-1.1.1.1"]);
});

test("should find a second dispatch unless the first was not sent", () => {
  const violations = violationsAfterChange("dispatch_not_sent", (entries) => {
    const index = entries.findIndex((entry) =>
      entry.kind === EntryKind.Event &&
      entry.event.kind === EventKind.DispatchNotSent
    );
    entries.splice(index, 1);
  });
  assert.ok(
    violations.includes("dispatched once: njiro-1.1.1.2 after njiro-1.1.1.1"),
  );
});

test("should find a second dispatch under a claimed key", () => {
  const violations = violationsAfterChange("key_elsewhere", (entries) => {
    const index = indexOfEffect(entries, EffectKind.Dispatch, "post-1");
    const first = effectAt<EffectKind.Dispatch>(entries, index);
    const second = { ...first, requestId: "post-2", attemptNonce: "second" };
    const endIndex = indexOfEffect(entries, EffectKind.AnswerCaller, "post-2");
    entries.splice(endIndex, 0, makeEffectEntry(second));
  });
  assert.equal(violations, ["dispatched once: second after njiro-1.1.1.1"]);
});

test("should find a call without an outcome, unless its instance died", () => {
  const drop = (entries: SessionEntry[]) => {
    const index = indexOfEffect(entries, EffectKind.AnswerCaller, "plan-1");
    entries.splice(index, 1);
  };
  assert.equal(violationsAfterChange("life_one_instance", drop), [
    "one outcome a call: plan-1 received 0 outcomes",
  ]);
  const dead: SessionEntry = { kind: EntryKind.Death, instanceId: "njiro-1" };
  const violations = violationsAfterChange("life_one_instance", (entries) => {
    drop(entries);
    entries.push(dead);
  });
  assert.equal(violations, []);
});

test("should find a second outcome, and an outcome without a call", () => {
  const violations = violationsAfterChange("life_one_instance", (entries) => {
    entries.push(makeRefusalEntry("plan-1", RunState.MayHaveRun));
    entries.push(makeRefusalEntry("plan-9", RunState.MayHaveRun));
  });
  assert.equal(violations, [
    "one outcome a call: plan-1 received 2 outcomes",
    "one outcome a call: plan-9 has no call",
  ]);
});

test("should find a dispatch after a refusal", () => {
  const violations = violationsAfterChange("life_one_instance", (entries) => {
    const endIndex = indexOfEffect(entries, EffectKind.AnswerCaller, "plan-1");
    entries.splice(endIndex, 1);
    const index = indexOfEffect(entries, EffectKind.Dispatch, "plan-1");
    entries.splice(index, 0, makeRefusalEntry("plan-1", RunState.MayHaveRun));
  });
  assert.equal(violations, ["no dispatch after the end: njiro-1.1.1.1"]);
});

test("should find a dispatched request that was refused as not run", () => {
  const violations = violationsAfterChange("life_one_instance", (entries) => {
    const index = indexOfEffect(entries, EffectKind.AnswerCaller, "plan-1");
    entries[index] = makeRefusalEntry("plan-1", RunState.NotRun);
  });
  assert.equal(violations, ["not run means not run: plan-1 was dispatched"]);
});

test("should find a joined call refused as not run whose key was dispatched", () => {
  const violations = violationsAfterChange("key_joined", (entries) => {
    const index = indexOfEffect(entries, EffectKind.AnswerCaller, "post-2");
    entries[index] = makeRefusalEntry("post-2", RunState.NotRun);
  });
  assert.equal(violations, ["not run means not run: post-2 was dispatched"]);
});

test("should find a version of the settings that goes down", () => {
  const violations = violationsAfterChange("settings_cut_off", (entries) => {
    const kind = EffectKind.SettingsInForce;
    entries.push(makeEffectEntry({ kind, version: 4 }));
  });
  assert.equal(violations, ["versions never go down: njiro-1 from 5 to 4"]);
});

test.run();
