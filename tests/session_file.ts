/** The form of a session file: instances, settings and what happens to them. */

import { EventKind } from "@chestnuthatch/core/events";
import { parse } from "yaml";
import { z } from "zod";

/** What a step of a session does. */
export enum StepAction {
  /** Hands an instance an event. */
  Event = "event",
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

const stepSchema = z.discriminatedUnion("action", [
  z.strictObject({
    atMs,
    action: z.literal(StepAction.Event),
    instance,
    event: z.looseObject({ kind: z.enum(EventKind) }),
  }),
  z.strictObject({
    atMs,
    action: z.enum([
      StepAction.Pause,
      StepAction.Resume,
      StepAction.Kill,
      StepAction.Restart,
      StepAction.Ready,
    ]),
    instance,
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
