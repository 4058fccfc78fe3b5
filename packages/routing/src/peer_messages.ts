/**
 * Messages between the instances that route requests. Declared once, here, and
 * checked when they arrive. No message carries a clock.
 */

import * as z from "zod";
import { RolloutPhase } from "./rollout.ts";
import { AskCause, AskRefusal } from "./work_ask.ts";

/** Kinds of message. */
export enum MessageKind {
  Beat = "beat",
  Ask = "ask",
  /** The ask arrived and waits. */
  Queued = "queued",
  Decision = "decision",
  FirstSeen = "first_seen",
  End = "end",
  Drop = "drop",
  Report = "report",
  /** Of asks that a holder reports as waiting, the receiver knows nothing. */
  Unknown = "unknown",
  /** The sender asked the receiver for places and got no answer in time. */
  Unanswered = "passed_over",
}

const member = z.object({
  instanceId: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  incarnation: z.number(),
  leaving: z.boolean(),
  cores: z.number(),
  standsAside: z.boolean().optional(),
});

const targetChange = z.object({
  targetId: z.string(),
  rowVersion: z.number(),
  entry: z.object({
    targetId: z.string(),
    incarnation: z.number(),
    pool: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    slots: z.number(),
    leaving: z.boolean(),
    announcedLeaving: z.boolean().optional(),
    version: z.string(),
    coldMs: z.number().optional(),
  }).optional(),
});

/** Checks what a peer tells of targets. */
export const targetChangesSchema = z.array(targetChange);

/** Checks what another instance tells of requests under which targets ended. */
export const suspectNewsSchema = z.object({
  fingerprint: z.string(),
  ended: z.array(z.string()).readonly(),
  endedInTrial: z.array(z.string()).readonly(),
  ageMs: z.number(),
});

/** Checks what another instance tells of a roll-out. */
export const rolloutNewsSchema = z.object({
  pool: z.string(),
  version: z.string(),
  withinMs: z.number(),
  rowVersion: z.number(),
  phase: z.enum(RolloutPhase),
  ageMs: z.number(),
});

const rateLimitNews = z.object({
  targetId: z.string(),
  limitPerS: z.number().nonnegative().optional(),
  ageMs: z.number(),
});

const ask = z.object({
  askId: z.string(),
  holderId: z.string(),
  callHash: z.number(),
  pool: z.string(),
  workspace: z.string(),
  rank: z.number(),
  cost: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  objectiveLeftMs: z.number(),
  patienceLeftMs: z.number(),
  deadlineLeftMs: z.number(),
  failureDomain: z.string(),
  excluded: z.array(z.string()).readonly(),
  cause: z.enum(AskCause),
  fingerprint: z.string().optional(),
  route: z.string().optional(),
});

const end = z.object({
  askId: z.string(),
  targetId: z.string(),
  pool: z.string(),
  promptTokens: z.number(),
  firstMs: z.number().optional(),
  eventGapMs: z.number().optional(),
  failed: z.boolean(),
  answerFailed: z.boolean().optional(),
  endedTarget: z.object({
    fingerprint: z.string(),
    process: z.string(),
    inTrial: z.boolean(),
  }).optional(),
  clearedFingerprint: z.string().optional(),
});

const running = z.object({
  askId: z.string(),
  pool: z.string(),
  targetId: z.string(),
  rank: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  firstSeen: z.boolean(),
  trialOf: z.string().optional(),
});

const report = z.object({
  holderId: z.string(),
  running: z.array(running).readonly(),
  waiting: z.array(z.string()).readonly(),
  spent: z.array(z.object({ workspace: z.string(), spent: z.number() }))
    .readonly(),
  suspects: z.array(suspectNewsSchema).readonly().optional(),
});

/** Checks what another instance tells of a workspace's spending. */
export const spendingHistorySchema = z.object({
  workspace: z.string(),
  spent: z.number(),
  bySecond: z.array(z.number()).readonly(),
});

const decision = z.union([
  z.object({
    askId: z.string(),
    holderId: z.string(),
    targetId: z.string(),
    expectedMs: z.number(),
    cameBackMs: z.number(),
    isTrial: z.boolean().optional(),
  }),
  z.object({
    askId: z.string(),
    holderId: z.string(),
    refusal: z.enum(AskRefusal),
    retryAfterMs: z.number(),
    figures: z.record(z.string(), z.number()),
  }),
]);

/** Checks a message from a peer. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(MessageKind.Beat),
    from: member,
    /** How long the sender has remembered what workspaces spent. */
    memoryMs: z.number(),
    /** Version of the configuration that the sender has; 0 for none. */
    configurationVersion: z.number(),
    /** Time since the sender last knew that no newer one is confirmed. */
    configurationAgeMs: z.number().nonnegative().optional(),
    /** Version of the newest news that it has of targets. */
    targetsVersion: z.number(),
    /** Whether the sender reaches the platform's store. */
    reachesStore: z.boolean(),
    /** Other members that it hears. */
    others: z.array(member),
    /**
     * From the coordinator: workspaces that spent much of their allotments.
     * Absent where this heartbeat does not tell.
     */
    spending: z.array(spendingHistorySchema).readonly().optional(),
    /** From the coordinator: requests under which targets ended, if any. */
    suspects: z.array(suspectNewsSchema).readonly().optional(),
    /** Roll-outs that are in progress or ended just now, if any. */
    rollouts: z.array(rolloutNewsSchema).readonly().optional(),
    /** Rate limits of targets, and recently lifted ones, if any. */
    rateLimits: z.array(rateLimitNews).readonly().optional(),
    /** What it lately learned of targets. */
    targetNews: targetChangesSchema,
  }),
  z.object({ kind: z.literal(MessageKind.Ask), ask }),
  z.object({ kind: z.literal(MessageKind.Queued), askId: z.string() }),
  z.object({ kind: z.literal(MessageKind.Decision), decision }),
  z.object({ kind: z.literal(MessageKind.FirstSeen), askId: z.string() }),
  z.object({ kind: z.literal(MessageKind.End), end }),
  z.object({ kind: z.literal(MessageKind.Drop), askId: z.string() }),
  z.object({ kind: z.literal(MessageKind.Report), report }),
  z.object({
    kind: z.literal(MessageKind.Unknown),
    askIds: z.array(z.string()).readonly(),
  }),
  z.object({ kind: z.literal(MessageKind.Unanswered) }),
]);

/** A message between instances. */
export type RoutingMessage = z.infer<typeof peerMessageSchema>;
