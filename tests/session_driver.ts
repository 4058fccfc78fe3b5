/** Plays a session through the cores and gives its golden text. */

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
import { CoreNet, type NetEffect, type UntimedEvent } from "./core_net.ts";
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

/** Folder of the session files, seen from the compiled module. */
export const SESSIONS_URL = new URL("../sessions/", import.meta.url);

const GOLDEN_URL = new URL("../golden/", import.meta.url);
const SESSION_SUFFIX = ".session.yaml";

/** Stands for the settings file's text in a session. */
const SETTINGS_MARK = "$settings";

/** Stands for the nonce of the request's last attempt. */
const ATTEMPT_MARK = "$attempt";

/** Stands for the content of the last answer kept. */
const KEPT_MARK = "$kept";

/** What a call of a session has where it does not say otherwise. */
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

/** Time from a poll to its answer. */
const POLL_MS = 1;

/** What an entry of a session's record is. */
export enum EntryKind {
  /** An instance was handed an event. */
  Event = "event",
  /** An instance's process died. */
  Death = "death",
  Effect = "effect",
}

/** One thing that happened in a session. */
export type SessionEntry =
  | {
    readonly kind: EntryKind.Event;
    readonly instanceId: string;
    readonly event: UntimedEvent;
  }
  | { readonly kind: EntryKind.Death; readonly instanceId: string }
  | ({ readonly kind: EntryKind.Effect } & NetEffect);

/** All that happened in a session, in order, and its golden text. */
export interface SessionRecord {
  readonly text: string;
  readonly entries: readonly SessionEntry[];
}

/**
 * Plays a session and compares it with its golden text, or writes that anew
 * when `UPDATE_GOLDEN=1` is set.
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
 * Plays a session file.
 *
 * @param name Name of the session file without its suffix.
 * @returns What happened.
 */
export function recordSession(name: string): SessionRecord {
  return playSession(
    parseSession(readSessionFile(`${name}${SESSION_SUFFIX}`)),
  );
}

/**
 * Names the session among a folder's files.
 *
 * @param fileNames Names of files.
 * @returns Names of sessions, in order.
 */
export function sessionNames(fileNames: readonly string[]): string[] {
  return fileNames
    .filter((name) => name.endsWith(SESSION_SUFFIX))
    .map((name) => name.slice(0, -SESSION_SUFFIX.length))
    .sort();
}

/**
 * Plays a session.
 *
 * @param session The session.
 * @returns What happened. In its golden text steps are marked with `>`, with
 * their effects below them.
 */
export function playSession(session: Session): SessionRecord {
  const player = new SessionPlayer(session);
  for (const step of session.steps) player.play(step);
  return player.record();
}

function readSessionFile(fileName: string): string {
  return readFileSync(new URL(fileName, SESSIONS_URL), "utf8");
}

type StepOf<A extends StepAction> = SessionStep & { action: A };

type StepHandlers = {
  readonly [A in StepAction]: (step: StepOf<A>) => void;
};

class SessionPlayer {
  readonly #lines: string[] = [];
  readonly #entries: SessionEntry[] = [];
  readonly #net: CoreNet;
  readonly #targets: ReportingTargets;
  readonly #quietUntilMs: number;
  readonly #lastMessages = new Map<string, PeerMessage>();
  #keptContent = "";
  readonly #settingsYaml: string;
  readonly #hidden: ReadonlySet<string>;
  readonly #attempts = new Map<string, string>();
  readonly #handlers: StepHandlers = {
    [StepAction.Event]: (step) =>
      this.#send(step.instance, this.#fill(step.event)),
    [StepAction.Call]: (step) =>
      this.#send(step.instance, {
        kind: EventKind.RequestArrived,
        spec: { ...DEFAULT_CALL, ...step.call },
      }),
    [StepAction.Stream]: (step) => this.#stream(step),
    [StepAction.Lose]: ({ between: [fromId, toId], message }) =>
      this.#net.loseNext({ fromId, toId, kind: message }),
    [StepAction.Repeat]: (step) => this.#repeat(step),
    [StepAction.Target]: (step) => this.#targets.change(step),
    [StepAction.Pause]: (step) => this.#net.pause(step.instance),
    [StepAction.Resume]: ({ instance, messagesFirst }) =>
      this.#net.resume(instance, messagesFirst),
    [StepAction.Kill]: ({ instance }) => {
      this.#noteDeath(instance);
      this.#net.kill(instance);
    },
    [StepAction.Restart]: ({ instance }) => {
      this.#noteDeath(instance);
      this.#net.restart(instance);
    },
    [StepAction.Cut]: (step) => this.#net.cut(...step.between),
    [StepAction.Heal]: (step) => this.#net.heal(...step.between),
    [StepAction.Ready]: (step) => this.#writeReadiness(step.instance),
    [StepAction.Status]: (step) => this.#writeStatus(step),
    [StepAction.Why]: (step) => this.#writeStory(step),
    [StepAction.Wait]: () => {},
  };

  constructor(session: Session) {
    this.#lines.push(`# ${session.title}`);
    this.#lines.push(`# not shown: ${session.hide.join(", ") || "nothing"}`);
    this.#hidden = new Set(session.hide);
    this.#settingsYaml = readSessionFile(session.settings);
    this.#quietUntilMs = session.quietUntilMs;
    this.#targets = new ReportingTargets(
      session.targetsReport ? this.#settingsYaml : "",
    );
    this.#net = new CoreNet({
      instances: session.instances,
      seed: session.seed,
      delayMs: session.delayMs,
      ...(session.settingsAtStart && { settingsYaml: this.#settingsYaml }),
      onEffect: (effect, net) => {
        this.#entries.push({ kind: EntryKind.Effect, ...effect });
        this.#heed(effect, net);
        this.#writeEffect(effect);
      },
    });
  }

  play(step: SessionStep): void {
    if (step.atMs < this.#net.nowMs) {
      throw new Error(`step at ${step.atMs} ms comes after a later one`);
    }
    this.#net.advance(step.atMs - this.#net.nowMs);
    this.#lines.push(`> ${step.atMs} ${renderStep(step)}`);
    const handler = this.#handlers[step.action] as (step: SessionStep) => void;
    handler(step);
  }

  record(): SessionRecord {
    return { text: `${this.#lines.join("\n")}\n`, entries: this.#entries };
  }

  #send(instanceId: string, event: UntimedEvent): void {
    this.#entries.push({ kind: EntryKind.Event, instanceId, event });
    this.#targets.heedEvent(event);
    this.#net.send(instanceId, event);
  }

  #noteDeath(instanceId: string): void {
    this.#entries.push({ kind: EntryKind.Death, instanceId });
  }

  #stream(step: StepOf<StepAction.Stream>): void {
    const { requestId } = step;
    const attemptNonce = this.#attempts.get(requestId) ?? "";
    const of: AttemptRef = { requestId, attemptNonce };
    for (const event of linesOf(step, of)) {
      this.#send(step.instance, { kind: EventKind.StreamEvent, ...of, event });
    }
    if (step.closed !== undefined) {
      const { closed: reason } = step;
      this.#send(step.instance, {
        kind: EventKind.StreamClosed,
        ...of,
        reason,
      });
    }
  }

  #repeat({ between, message }: StepOf<StepAction.Repeat>): void {
    const [fromId, toId] = between;
    const last = this.#lastMessages.get(messageKey(fromId, toId, message));
    if (last === undefined) throw new Error(`no ${message} to repeat`);
    this.#net.send(toId, {
      kind: EventKind.PeerMessageReceived,
      fromId,
      fromIncarnation: this.#net.core(fromId).board.self.incarnation,
      message: last,
    });
  }

  /** Notes what later steps and the targets need of an effect. */
  #heed({ instanceId, effect }: NetEffect, net: CoreNet): void {
    switch (effect.kind) {
      case EffectKind.Dispatch:
        this.#noteAttempt(effect);
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
    const reply = this.#targets.heedEffect(effect);
    if (reply !== undefined) {
      net.later(POLL_MS, () => net.send(instanceId, reply));
    }
  }

  #writeEffect({ atMs, instanceId, effect }: NetEffect): void {
    const isShown = atMs >= this.#quietUntilMs &&
      !this.#hidden.has(effectLabel(effect));
    if (isShown) {
      this.#lines.push(`${atMs} ${instanceId} ${renderEffect(effect)}`);
    }
  }

  #noteAttempt(effect: EffectOf<EffectKind.Dispatch>): void {
    this.#attempts.set(effect.requestId, effect.attemptNonce);
  }

  #writeReadiness(instanceId: string): void {
    const readiness = readinessOf(this.#net.core(instanceId).board);
    this.#lines.push(`  ${renderValue(readiness)}`);
  }

  #writeStatus(
    step: StepOf<StepAction.Status>,
  ): void {
    const { board } = this.#net.core(step.instance);
    const status = statusOf(board, this.#net.localNowMs(step.instance));
    for (const [name, value] of Object.entries(status)) {
      if (step.fields.includes(name)) this.#writeField(name, value);
    }
  }

  #writeField(name: string, value: unknown): void {
    for (const one of Array.isArray(value) ? value : [value]) {
      this.#lines.push(`  ${name} ${renderValue(one)}`);
    }
  }

  #writeStory(step: StepOf<StepAction.Why>): void {
    const story = explainRequest(
      this.#net.core(step.instance).board,
      step.requestId,
    );
    for (const [name, value] of Object.entries(story)) {
      this.#writeField(name, value);
    }
  }

  /** Replaces the marks in an event by what they stand for. */
  #fill(event: { kind: string; requestId?: unknown }): UntimedEvent {
    const attemptNonce = this.#attempts.get(String(event.requestId)) ?? "";
    const fillValue = (value: unknown): unknown => {
      if (value === SETTINGS_MARK) return this.#settingsYaml;
      if (value === ATTEMPT_MARK) return attemptNonce;
      if (value === KEPT_MARK) return this.#keptContent;
      if (typeof value !== "object" || value === null) return value;
      if (Array.isArray(value)) return value.map(fillValue);
      return Object.fromEntries(
        Object.entries(value).map(([name, field]) => [name, fillValue(field)]),
      );
    };
    return fillValue(event) as UntimedEvent;
  }
}

const targetsSchema = z.looseObject({
  targets: z.record(
    z.string(),
    z.looseObject({ slots: z.number(), kvTokens: z.number().default(0) }),
  ),
});

/** Targets that tell their load when polled. */
class ReportingTargets {
  readonly #loads = new Map<string, TargetLoad>();
  readonly #down = new Set<string>();
  /** Target id by the nonce of each attempt that runs. */
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
        // The coordinator's own account of KV memory is never the smaller one.
        kvUsedTokens: 0,
        kvTotalTokens: kvTokens,
        waitingRequests: 0,
        leaving: false,
      });
    }
  }

  change({ targetId, leaving, down }: StepOf<StepAction.Target>): void {
    const load = this.#loads.get(targetId);
    if (load === undefined) throw new Error(`no target ${targetId}`);
    this.#loads.set(targetId, { ...load, leaving });
    if (down) this.#down.add(targetId);
    else this.#down.delete(targetId);
  }

  /** Notes an event by which work ends or did not begin. */
  heedEvent(event: UntimedEvent): void {
    const ends = event.kind === EventKind.DispatchNotSent ||
      event.kind === EventKind.ServiceAnswered ||
      (event.kind === EventKind.StreamEvent &&
        event.event.kind === EngineEventKind.End);
    if (ends) this.#running.delete(event.attemptNonce);
  }

  /** Notes an effect; gives the answer where it is a poll. */
  heedEffect(effect: Effect): UntimedEvent | undefined {
    switch (effect.kind) {
      case EffectKind.Dispatch:
        this.#running.set(effect.attemptNonce, effect.targetId);
        return undefined;
      case EffectKind.CancelStream:
        this.#running.delete(effect.attemptNonce);
        return undefined;
      case EffectKind.PollLoad:
        return this.#report(effect.targetId);
      default:
        return undefined;
    }
  }

  #report(targetId: string): UntimedEvent | undefined {
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

/** Lines of an engine's stream as a step writes them. */
function linesOf(
  step: StepOf<StepAction.Stream>,
  of: AttemptRef,
): EngineEvent[] {
  const { from, tokens, end } = step;
  const lines: EngineEvent[] = tokens.map((text, index) => ({
    kind: EngineEventKind.Token,
    ...of,
    index: from + index,
    text,
  }));
  if (from === 0 && tokens.length > 0) {
    lines.unshift({
      kind: EngineEventKind.Start,
      ...of,
      cachedTokens: 0,
      prefilledTokens: 0,
    });
  }
  if (end !== undefined) {
    lines.push({ kind: EngineEventKind.End, ...of, outputTokens: end });
  }
  return lines;
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
