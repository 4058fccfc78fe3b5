/** Runs session files in a simulated fleet and renders their golden texts. */

import { readFileSync, writeFileSync } from "node:fs";
import {
  type Effect,
  EffectKind,
  type EffectOf,
} from "@chestnuthatch/core/effects";
import { type AttemptRef, EventKind } from "@chestnuthatch/core/events";
import type { RequestSpec } from "@chestnuthatch/core/request";
import { readinessOf } from "@chestnuthatch/core/readiness";
import { statusOf } from "@chestnuthatch/core/status";
import { explainRequest } from "@chestnuthatch/core/request_explanation";
import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import {
  type EngineEvent,
  EngineEventKind,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import * as assert from "uvu/assert";
import { parse } from "yaml";
import { z } from "zod";
import {
  type IssuedEffect,
  SimulatedFleet,
  type UntimedEvent,
} from "./simulated_fleet.ts";
import {
  effectLabel,
  renderEffect,
  renderFields,
  renderValue,
} from "./effect_lines.ts";
import {
  parseSession,
  type Session,
  type SessionStep,
  StepAction,
} from "./session_file.ts";

/** Folder of the session files, relative to the compiled module. */
export const SESSIONS_URL = new URL("../sessions/", import.meta.url);

const GOLDEN_URL = new URL("../golden/", import.meta.url);
const SESSION_SUFFIX = ".session.yaml";

/** Placeholder in a session file for the text of its settings file. */
const SETTINGS_PLACEHOLDER = "$settings";

/** Placeholder in an event for the nonce of the request's latest attempt. */
const ATTEMPT_PLACEHOLDER = "$attempt";

/** Placeholder in an event for the content of the latest kept answer. */
const KEPT_CONTENT_PLACEHOLDER = "$kept";

/** Fields of a request where the session's call step leaves them out. */
const DEFAULT_CALL: Omit<RequestSpec, "requestId"> = {
  workspace: "shamba-safi",
  tier: "season-plans",
  pool: "msaidizi",
  promptTokens: 400,
  maxOutputTokens: 40,
  deadlineMs: 10_000,
  stream: false,
  contentHash: "content-1",
  blockHashes: [],
};

/** Time from a load poll to the target's answer. */
const POLL_REPLY_DELAY_MS = 1;

/** Kind of an entry in the record of a session. */
export enum EntryKind {
  /** An event was delivered to an instance. */
  Event = "event",
  /** The process of an instance was killed. */
  Death = "death",
  /** An instance issued an effect. */
  Effect = "effect",
}

/** An event, an effect or the death of an instance in a session. */
export type SessionEntry =
  | {
    readonly kind: EntryKind.Event;
    readonly instanceId: string;
    readonly event: UntimedEvent;
  }
  | { readonly kind: EntryKind.Death; readonly instanceId: string }
  | ({ readonly kind: EntryKind.Effect } & IssuedEffect);

/** All entries of a session, in order, and its golden text. */
export interface SessionRecord {
  /** The golden text. */
  readonly text: string;
  readonly entries: readonly SessionEntry[];
}

/**
 * Runs a session and compares it with its golden text, or overwrites the
 * golden text when `UPDATE_GOLDEN=1` is set.
 *
 * @param name Name of the session file without its suffix.
 */
export function checkSession(name: string): void {
  const actual = recordSession(name).text;
  const goldenUrl = new URL(`${name}.golden.txt`, GOLDEN_URL);
  if (process.env.UPDATE_GOLDEN === "1") {
    writeFileSync(goldenUrl, actual);
    return;
  }
  assert.fixture(actual, readFileSync(goldenUrl, "utf8"));
}

/**
 * Runs a session file.
 *
 * @param name Name of the session file without its suffix.
 * @returns The entries of the session and its golden text.
 */
export function recordSession(name: string): SessionRecord {
  return runSession(
    parseSession(readSessionFile(`${name}${SESSION_SUFFIX}`)),
  );
}

/**
 * Picks the session files from the names of a folder's files.
 *
 * @param fileNames Names of all files in the folder.
 * @returns Names of the session files without their suffix, sorted.
 */
export function sessionNames(fileNames: readonly string[]): string[] {
  return fileNames
    .filter((name) => name.endsWith(SESSION_SUFFIX))
    .map((name) => name.slice(0, -SESSION_SUFFIX.length))
    .sort();
}

/**
 * Runs a session.
 *
 * @param session The session.
 * @returns The entries of the session and its golden text, in which each step
 * is marked with `>` and followed by its effects.
 */
export function runSession(session: Session): SessionRecord {
  const runner = new SessionRunner(session);
  for (const step of session.steps) runner.run(step);
  return runner.result();
}

function readSessionFile(fileName: string): string {
  return readFileSync(new URL(fileName, SESSIONS_URL), "utf8");
}

type StepOf<A extends StepAction> = SessionStep & { action: A };

type StepHandlers = {
  readonly [A in StepAction]: (step: StepOf<A>) => void;
};

/** Runs the steps of one session and records what the fleet does. */
class SessionRunner {
  readonly #lines: string[] = [];
  readonly #entries: SessionEntry[] = [];
  readonly #fleet: SimulatedFleet;
  readonly #targets: ReportingTargets;
  readonly #hiddenUntilMs: number;
  /** Latest peer message by sender, receiver and kind. */
  readonly #lastMessages = new Map<string, PeerMessage>();
  #keptContent = "";
  readonly #settingsYaml: string;
  readonly #hiddenLabels: ReadonlySet<string>;
  /** Nonce of the latest attempt, by request id. */
  readonly #attempts = new Map<string, string>();
  readonly #handlers: StepHandlers = {
    [StepAction.Event]: (step) =>
      this.#deliverEvent(step.instance, this.#fillPlaceholders(step.event)),
    [StepAction.Call]: (step) =>
      this.#deliverEvent(step.instance, {
        kind: EventKind.RequestArrived,
        spec: { ...DEFAULT_CALL, ...step.call },
      }),
    [StepAction.Stream]: (step) => this.#deliverStream(step),
    [StepAction.Lose]: ({ between: [fromId, toId], message }) =>
      this.#fleet.dropNext({ fromId, toId, kind: message }),
    [StepAction.Repeat]: (step) => this.#repeatMessage(step),
    [StepAction.Target]: (step) => this.#targets.setState(step),
    [StepAction.Pause]: (step) => this.#fleet.pause(step.instance),
    [StepAction.Resume]: ({ instance, messagesFirst }) =>
      this.#fleet.resume(instance, messagesFirst),
    [StepAction.Kill]: ({ instance }) => {
      this.#recordDeath(instance);
      this.#fleet.kill(instance);
    },
    [StepAction.Restart]: ({ instance }) => {
      this.#recordDeath(instance);
      this.#fleet.restart(instance);
    },
    [StepAction.Cut]: (step) => this.#fleet.cut(...step.between),
    [StepAction.Heal]: (step) => this.#fleet.heal(...step.between),
    [StepAction.Ready]: (step) => this.#writeReadiness(step.instance),
    [StepAction.Status]: (step) => this.#writeStatus(step),
    [StepAction.Why]: (step) => this.#writeExplanation(step),
    [StepAction.Wait]: () => {},
  };

  constructor(session: Session) {
    this.#lines.push(`# ${session.title}`);
    this.#lines.push(`# not shown: ${session.hide.join(", ") || "nothing"}`);
    this.#hiddenLabels = new Set(session.hide);
    this.#settingsYaml = readSessionFile(session.settings);
    this.#hiddenUntilMs = session.quietUntilMs;
    this.#targets = new ReportingTargets(
      session.targetsReport ? this.#settingsYaml : "",
    );
    this.#fleet = new SimulatedFleet({
      instances: session.instances,
      seed: session.seed,
      delayMs: session.delayMs,
      ...(session.settingsAtStart && { settingsYaml: this.#settingsYaml }),
      onEffect: (effect, fleet) => {
        this.#entries.push({ kind: EntryKind.Effect, ...effect });
        this.#recordEffect(effect, fleet);
        this.#writeEffect(effect);
      },
    });
  }

  run(step: SessionStep): void {
    if (step.atMs < this.#fleet.nowMs) {
      throw new Error(`step at ${step.atMs} ms comes after a later one`);
    }
    this.#fleet.advance(step.atMs - this.#fleet.nowMs);
    this.#lines.push(`> ${step.atMs} ${renderStep(step)}`);
    const handler = this.#handlers[step.action] as (step: SessionStep) => void;
    handler(step);
  }

  result(): SessionRecord {
    return { text: `${this.#lines.join("\n")}\n`, entries: this.#entries };
  }

  #deliverEvent(instanceId: string, event: UntimedEvent): void {
    this.#entries.push({ kind: EntryKind.Event, instanceId, event });
    this.#targets.recordEvent(event);
    this.#fleet.deliver(instanceId, event);
  }

  #recordDeath(instanceId: string): void {
    this.#entries.push({ kind: EntryKind.Death, instanceId });
  }

  #deliverStream(step: StepOf<StepAction.Stream>): void {
    const { requestId } = step;
    const attemptNonce = this.#attempts.get(requestId) ?? "";
    const of: AttemptRef = { requestId, attemptNonce };
    for (const event of streamEvents(step, of)) {
      this.#deliverEvent(step.instance, {
        kind: EventKind.StreamEvent,
        ...of,
        event,
      });
    }
    if (step.closed !== undefined) {
      const { closed: reason } = step;
      this.#deliverEvent(step.instance, {
        kind: EventKind.StreamClosed,
        ...of,
        reason,
      });
    }
  }

  #repeatMessage({ between, message }: StepOf<StepAction.Repeat>): void {
    const [fromId, toId] = between;
    const lastMessage = this.#lastMessages.get(
      messageKey(fromId, toId, message),
    );
    if (lastMessage === undefined) throw new Error(`no ${message} to repeat`);
    this.#fleet.deliver(toId, {
      kind: EventKind.PeerMessageReceived,
      fromId,
      fromIncarnation: this.#fleet.core(fromId).board.self.incarnation,
      message: lastMessage,
    });
  }

  /** Records the data of an effect that later steps and targets refer to. */
  #recordEffect(
    { instanceId, effect }: IssuedEffect,
    fleet: SimulatedFleet,
  ): void {
    switch (effect.kind) {
      case EffectKind.Dispatch:
        this.#recordAttempt(effect);
        break;
      case EffectKind.KeepAnswer:
        this.#keptContent = effect.content;
        break;
      case EffectKind.SendPeer: {
        const { peerId, message } = effect;
        const key = messageKey(instanceId, peerId, message.kind);
        this.#lastMessages.set(key, message);
        break;
      }
    }
    const reply = this.#targets.applyEffect(effect);
    if (reply !== undefined) {
      fleet.schedule(
        POLL_REPLY_DELAY_MS,
        () => fleet.deliver(instanceId, reply),
      );
    }
  }

  #writeEffect({ atMs, instanceId, effect }: IssuedEffect): void {
    const isShown = atMs >= this.#hiddenUntilMs &&
      !this.#hiddenLabels.has(effectLabel(effect));
    if (isShown) {
      this.#lines.push(`${atMs} ${instanceId} ${renderEffect(effect)}`);
    }
  }

  #recordAttempt(effect: EffectOf<EffectKind.Dispatch>): void {
    this.#attempts.set(effect.requestId, effect.attemptNonce);
  }

  #writeReadiness(instanceId: string): void {
    const readiness = readinessOf(this.#fleet.core(instanceId).board);
    this.#lines.push(`  ${renderValue(readiness)}`);
  }

  #writeStatus(
    step: StepOf<StepAction.Status>,
  ): void {
    const { board } = this.#fleet.core(step.instance);
    const status = statusOf(board, this.#fleet.localNowMs(step.instance));
    for (const [name, value] of Object.entries(status)) {
      if (step.fields.includes(name)) this.#writeField(name, value);
    }
  }

  #writeField(name: string, value: unknown): void {
    for (const one of Array.isArray(value) ? value : [value]) {
      this.#lines.push(`  ${name} ${renderValue(one)}`);
    }
  }

  #writeExplanation(step: StepOf<StepAction.Why>): void {
    const explanation = explainRequest(
      this.#fleet.core(step.instance).board,
      step.requestId,
    );
    for (const [name, value] of Object.entries(explanation)) {
      this.#writeField(name, value);
    }
  }

  /** Replaces the placeholders in an event with their values. */
  #fillPlaceholders(
    event: { kind: string; requestId?: unknown },
  ): UntimedEvent {
    const attemptNonce = this.#attempts.get(String(event.requestId)) ?? "";
    const replaceIn = (value: unknown): unknown => {
      if (value === SETTINGS_PLACEHOLDER) return this.#settingsYaml;
      if (value === ATTEMPT_PLACEHOLDER) return attemptNonce;
      if (value === KEPT_CONTENT_PLACEHOLDER) return this.#keptContent;
      if (typeof value !== "object" || value === null) return value;
      if (Array.isArray(value)) return value.map(replaceIn);
      return Object.fromEntries(
        Object.entries(value).map(([name, field]) => [name, replaceIn(field)]),
      );
    };
    return replaceIn(event) as UntimedEvent;
  }
}

const targetsSchema = z.looseObject({
  targets: z.record(
    z.string(),
    z.looseObject({ slots: z.number(), kvTokens: z.number().default(0) }),
  ),
});

/** The targets of the settings, simulated as far as they report their load. */
class ReportingTargets {
  readonly #loads = new Map<string, TargetLoad>();
  readonly #down = new Set<string>();
  /** Target id of each running attempt, by the attempt's nonce. */
  readonly #running = new Map<string, string>();

  /** @param settingsYaml Settings that name the targets; empty for none. */
  constructor(settingsYaml: string) {
    if (settingsYaml === "") return;
    const { targets } = targetsSchema.parse(parse(settingsYaml));
    for (const [targetId, { slots, kvTokens }] of Object.entries(targets)) {
      this.#loads.set(targetId, {
        targetId,
        ageMs: 0,
        slotsUsed: 0,
        slotsTotal: slots,
        // 0, as the coordinator's own account of KV memory is never smaller.
        kvUsedTokens: 0,
        kvTotalTokens: kvTokens,
        waitingRequests: 0,
        leaving: false,
      });
    }
  }

  setState({ targetId, leaving, down }: StepOf<StepAction.Target>): void {
    const load = this.#loads.get(targetId);
    if (load === undefined) throw new Error(`no target ${targetId}`);
    this.#loads.set(targetId, { ...load, leaving });
    if (down) this.#down.add(targetId);
    else this.#down.delete(targetId);
  }

  /** Removes an attempt on an event that ends it or says it was not sent. */
  recordEvent(event: UntimedEvent): void {
    const isEnd = event.kind === EventKind.DispatchNotSent ||
      event.kind === EventKind.ServiceAnswered ||
      (event.kind === EventKind.StreamEvent &&
        event.event.kind === EngineEventKind.End);
    if (isEnd) this.#running.delete(event.attemptNonce);
  }

  /**
   * Starts or cancels an attempt, or answers a load poll.
   *
   * @returns The event that answers a poll; absent for other effects.
   */
  applyEffect(effect: Effect): UntimedEvent | undefined {
    switch (effect.kind) {
      case EffectKind.Dispatch:
        this.#running.set(effect.attemptNonce, effect.targetId);
        return undefined;
      case EffectKind.CancelStream:
        this.#running.delete(effect.attemptNonce);
        return undefined;
      case EffectKind.PollLoad:
        return this.#makeLoadReport(effect.targetId);
      default:
        return undefined;
    }
  }

  #makeLoadReport(targetId: string): UntimedEvent | undefined {
    const load = this.#loads.get(targetId);
    if (load === undefined) return undefined;
    if (this.#down.has(targetId)) {
      return { kind: EventKind.LoadReportFailed, targetId };
    }
    const slotsUsed = [...this.#running.values()]
      .filter((id) => id === targetId).length;
    return { kind: EventKind.LoadReported, load: { ...load, slotsUsed } };
  }
}

/** Builds the engine events that a stream step describes. */
function streamEvents(
  step: StepOf<StepAction.Stream>,
  of: AttemptRef,
): EngineEvent[] {
  const { from, tokens, end } = step;
  const events: EngineEvent[] = tokens.map((text, index) => ({
    kind: EngineEventKind.Token,
    ...of,
    index: from + index,
    text,
  }));
  if (from === 0 && tokens.length > 0) {
    events.unshift({
      kind: EngineEventKind.Start,
      ...of,
      cachedTokens: 0,
      prefilledTokens: 0,
    });
  }
  if (end !== undefined) {
    events.push({ kind: EngineEventKind.End, ...of, outputTokens: end });
  }
  return events;
}

function messageKey(fromId: string, toId: string, kind: string): string {
  return `${fromId} ${toId} ${kind}`;
}

function renderStep(step: SessionStep): string {
  switch (step.action) {
    case StepAction.Event:
      return `${step.instance} ${renderFields(step.event)}`;
    case StepAction.Call:
      return `${step.instance} ${
        renderFields({ kind: step.action, ...step.call })
      }`;
    case StepAction.Stream: {
      const { atMs: _atMs, action, instance, ...lines } = step;
      return `${instance} ${renderFields({ kind: action, ...lines })}`;
    }
    case StepAction.Lose:
    case StepAction.Repeat:
      return `${step.action} ${step.message} from ${step.between.join(" to ")}`;
    case StepAction.Target: {
      const { targetId, leaving, down } = step;
      return `target ${targetId} ${renderValue({ leaving, down })}`;
    }
    case StepAction.Resume: {
      const order = step.messagesFirst ? " messages first" : "";
      return `${step.action} ${step.instance}${order}`;
    }
    case StepAction.Cut:
    case StepAction.Heal:
      return `${step.action} ${step.between.join(" and ")}`;
    case StepAction.Wait:
      return step.action;
    case StepAction.Why:
      return `${step.action} ${step.instance} ${step.requestId}`;
    default:
      return `${step.action} ${step.instance}`;
  }
}
