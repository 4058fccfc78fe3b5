/** Plays a session through the cores and gives its golden text. */

import { readFileSync, writeFileSync } from "node:fs";
import { EffectKind, type EffectOf } from "@chestnuthatch/core/effects";
import { readinessOf } from "@chestnuthatch/core/readiness";
import { statusOf } from "@chestnuthatch/core/status";
import { whyOf } from "@chestnuthatch/core/why";
import * as assert from "uvu/assert";
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

/**
 * Plays a session and compares it with its golden text, or writes that anew
 * when `UPDATE_GOLDEN=1` is set.
 *
 * @param name Name of the session file without its suffix.
 */
export function checkSession(name: string): void {
  const session = parseSession(readSessionFile(`${name}${SESSION_SUFFIX}`));
  const actual = playSession(session);
  const goldenUrl = new URL(`${name}.golden.txt`, GOLDEN_URL);
  if (process.env.UPDATE_GOLDEN === "1") {
    writeFileSync(goldenUrl, actual);
    return;
  }
  assert.fixture(actual, readFileSync(goldenUrl, "utf8"));
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
 * @returns Its golden text: steps marked with `>`, effects below them.
 */
export function playSession(session: Session): string {
  const player = new SessionPlayer(session);
  for (const step of session.steps) player.play(step);
  return player.text();
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
  readonly #net: CoreNet;
  readonly #settingsYaml: string;
  readonly #hidden: ReadonlySet<string>;
  readonly #attempts = new Map<string, string>();
  readonly #handlers: StepHandlers = {
    [StepAction.Event]: (step) =>
      this.#net.send(step.instance, this.#fill(step.event)),
    [StepAction.Pause]: (step) => this.#net.pause(step.instance),
    [StepAction.Resume]: (step) => this.#net.resume(step.instance),
    [StepAction.Kill]: (step) => this.#net.kill(step.instance),
    [StepAction.Restart]: (step) => this.#net.restart(step.instance),
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
    this.#net = new CoreNet({
      instances: session.instances,
      seed: session.seed,
      delayMs: session.delayMs,
      ...(session.settingsAtStart && { settingsYaml: this.#settingsYaml }),
      onEffect: (effect) => this.#writeEffect(effect),
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

  text(): string {
    return `${this.#lines.join("\n")}\n`;
  }

  #writeEffect({ atMs, instanceId, effect }: NetEffect): void {
    if (effect.kind === EffectKind.Dispatch) this.#noteAttempt(effect);
    if (!this.#hidden.has(effectLabel(effect))) {
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
    const story = whyOf(this.#net.core(step.instance).board, step.requestId);
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
      if (typeof value !== "object" || value === null) return value;
      if (Array.isArray(value)) return value.map(fillValue);
      return Object.fromEntries(
        Object.entries(value).map(([name, field]) => [name, fillValue(field)]),
      );
    };
    return fillValue(event) as UntimedEvent;
  }
}

function renderStep(step: SessionStep): string {
  switch (step.action) {
    case StepAction.Event:
      return `${step.instance} ${renderFields(step.event)}`;
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
