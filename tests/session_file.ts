/** The form of a session file: instances, settings and what happens to them. */

import { EventKind } from "@chestnuthatch/core/events";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { parse } from "yaml";
import { z } from "zod";

/** What a step of a session does. */
export enum StepAction {
  /** Hands an instance an event. */
  Event = "event",
  /** Hands an instance a caller's request; fields left out have defaults. */
  Call = "call",
  /** Hands a request's holder lines of its engine's stream. */
  Stream = "stream",
  /** Loses the next message of a kind between two instances. */
  Lose = "lose",
  /** Delivers the last message of a kind between two instances once more. */
  Repeat = "repeat",
  /** Changes what a target's load reports say. */
  Target = "target",
  Pause = "pause",
  Resume = "resume",
  Kill = "kill",
  Restart = "restart",
  /** Cuts or heals the links between two instances or failure domains. */
  Cut = "cut",
  Heal = "heal",
  /** Writes an instance's readiness, or its status, to the golden text. */
  Ready = "ready",
  Status = "status",
  /** Writes a request's story to the golden text. */
  Why = "why",
  /** Only lets time pass. */
  Wait = "wait",
}

const atMs = z.number().nonnegative();
const instance = z.string();
const between = z.tuple([z.string(), z.string()]);

const callSchema = z.strictObject({
  requestId: z.string(),
  workspace: z.string().optional(),
  tier: z.string().optional(),
  pool: z.string().optional(),
  promptTokens: z.number().int().optional(),
  maxOutputTokens: z.number().int().optional(),
  deadlineMs: z.number().optional(),
  idempotent: z.boolean().optional(),
  idempotencyKey: z.string().optional(),
  firstAttempt: z.boolean().optional(),
  stream: z.boolean().optional(),
  contentHash: z.string().optional(),
});

/** A caller's request as a session writes it. */
export type SessionCall = z.infer<typeof callSchema>;

const stepSchema = z.discriminatedUnion("action", [
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Event),
    instance,
    event: z.looseObject({ kind: z.enum(EventKind) }),
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Call),
    instance,
    call: callSchema,
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Stream),
    instance,
    requestId: z.string(),
    /** Index of the first of the tokens; a start line goes before index 0. */
    from: z.number().int().default(0),
    tokens: z.array(z.string()).default([]),
    /** Tokens that the end line counts; no end line where absent. */
    end: z.number().int().optional(),
    /** Why the stream closes; it stays open where absent. */
    closed: z.string().optional(),
  }),
  z.strictObject({
    atMs,
    action: z.enum([StepAction.Lose, StepAction.Repeat]),
    between,
    message: z.enum(PeerMessageKind),
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Target),
    targetId: z.string(),
    leaving: z.boolean().default(false),
    /** Whether its load reports fail. */
    down: z.boolean().default(false),
  }),
  z.strictObject({
    atMs,
    action: z.enum([
      StepAction.Pause,
      StepAction.Kill,
      StepAction.Restart,
      StepAction.Ready,
    ]),
    instance,
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Resume),
    instance,
    /** Whether it gets what waited before its first tick. */
    messagesFirst: z.boolean().default(false),
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Status),
    instance,
    /** Fields of the status to write. */
    fields: z.array(z.string()),
  }),
  z.strictObject({
    atMs,
    action: z.enum([StepAction.Cut, StepAction.Heal]),
    between,
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Why),
    instance,
    requestId: z.string(),
  }),
  z.strictObject({ atMs, action: z.literal(StepAction.Wait) }),
]);

/** One step, on the session's clock. */
export type SessionStep = z.infer<typeof stepSchema>;

const sessionSchema = z.strictObject({
  title: z.string(),
  seed: z.number().int().default(1),
  /** Settings file beside the session; `$settings` stands for its text. */
  settings: z.string(),
  /** Whether every instance has the settings as version 1 at its start. */
  settingsAtStart: z.boolean().default(true),
  delayMs: z.number().nonnegative().default(1),
  instances: z.array(z.strictObject({
    instanceId: z.string(),
    failureDomain: z.string(),
    region: z.string(),
  })).min(1),
  /** Kinds of effect and of peer message left out of the golden text. */
  hide: z.array(z.string()).default([]),
  /** Effects before this time are left out, while the instances meet. */
  quietUntilMs: z.number().nonnegative().default(0),
  /** Whether the settings' targets answer polls for their load. */
  targetsReport: z.boolean().default(false),
  steps: z.array(stepSchema),
});

/** A whole session. */
export type Session = z.infer<typeof sessionSchema>;

/**
 * Reads a session.
 *
 * @param yamlText Text of a session file.
 * @returns The checked session; throws where the text is at fault.
 */
export function parseSession(yamlText: string): Session {
  return sessionSchema.parse(parse(yamlText));
}
