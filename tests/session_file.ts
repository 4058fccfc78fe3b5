/** Schema of the session files: instances, settings and steps of a session. */

import { EventKind } from "@chestnuthatch/core/events";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { parse } from "yaml";
import { z } from "zod";

/** Action of one step of a session. */
export enum StepAction {
  /** Delivers an event to an instance. */
  Event = "event",
  /** Delivers a caller's request to an instance; absent fields get defaults. */
  Call = "call",
  /** Delivers events of an engine's stream to the holder of a request. */
  Stream = "stream",
  /** Drops the next message of a kind between two instances. */
  Lose = "lose",
  /** Delivers the latest message of a kind between two instances again. */
  Repeat = "repeat",
  /** Changes the load reports of a target, or makes them fail. */
  Target = "target",
  /** Pauses an instance; its connections stay open. */
  Pause = "pause",
  /** Resumes a paused instance. */
  Resume = "resume",
  /** Kills the process of an instance. */
  Kill = "kill",
  /** Kills an instance and starts it with the next incarnation. */
  Restart = "restart",
  /** Cuts the links between two instances or failure domains. */
  Cut = "cut",
  /** Restores the links between two instances or failure domains. */
  Heal = "heal",
  /** Writes the readiness of an instance to the golden text. */
  Ready = "ready",
  /** Writes fields of an instance's status to the golden text. */
  Status = "status",
  /** Writes the explanation of a request to the golden text. */
  Why = "why",
  /** Advances the time and does nothing else. */
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

/** Fields of a caller's request that a session file sets. */
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
    /** Index of the first token; a start event goes before index 0. */
    from: z.number().int().default(0),
    tokens: z.array(z.string()).default([]),
    /** Output tokens that the end event counts; no end event where absent. */
    end: z.number().int().optional(),
    /** Reason with which the stream closes; it stays open where absent. */
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
    /** Whether the events that arrived meanwhile come before the first tick. */
    messagesFirst: z.boolean().default(false),
  }),
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Status),
    instance,
    /** Names of the status fields to write. */
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

/** One step of a session, with its time on the fleet's clock. */
export type SessionStep = z.infer<typeof stepSchema>;

const sessionSchema = z.strictObject({
  title: z.string(),
  seed: z.number().int().default(1),
  /** Name of the settings file, whose text replaces `$settings` in events. */
  settings: z.string(),
  /** Whether every instance reads the settings as version 1 at its start. */
  settingsAtStart: z.boolean().default(true),
  delayMs: z.number().nonnegative().default(1),
  instances: z.array(z.strictObject({
    instanceId: z.string(),
    failureDomain: z.string(),
    region: z.string(),
  })).min(1),
  /** Kinds of effect and of peer message left out of the golden text. */
  hide: z.array(z.string()).default([]),
  /** Effects before this time, while the instances connect, are left out. */
  quietUntilMs: z.number().nonnegative().default(0),
  /** Whether the settings' targets answer polls for their load. */
  targetsReport: z.boolean().default(false),
  steps: z.array(stepSchema),
});

/** Content of a session file. */
export type Session = z.infer<typeof sessionSchema>;

/**
 * Parses a session file.
 *
 * @param yamlText Text of the session file.
 * @returns The validated session.
 * @throws If the text does not match the schema.
 */
export function parseSession(yamlText: string): Session {
  return sessionSchema.parse(parse(yamlText));
}
