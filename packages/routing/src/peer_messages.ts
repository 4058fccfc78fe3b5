/**
 * Schemas of the messages between instances, by which each message is validated
 * when it arrives. No message carries a time of day: messages give ages and
 * remaining times instead, as the clocks of instances may differ.
 */

import * as z from "zod";
import {
  MAX_ADMISSION_FORECASTS,
  MAX_FORECAST_WAIT_MS,
} from "./admission_forecast.ts";
import { RolloutPhase } from "./rollout.ts";
import {
  AskCause,
  AskRefusal,
  MAX_REPORTED_CALL_HASHES,
  MAX_REPORTED_REFUSAL_COUNT,
  MAX_REPORTED_REFUSALS,
} from "./work_ask.ts";

/** Kinds of messages between instances. */
export enum MessageKind {
  /** Liveness and gossip that each instance sends to others periodically. */
  Heartbeat = "beat",
  /** A holder requests a placement for a request from the coordinator. */
  Ask = "ask",
  /** The coordinator confirms that an ask arrived and waits. */
  Queued = "queued",
  /** The coordinator places a request, or refuses it. */
  Decision = "decision",
  /** The first part of an answer arrived from the target. */
  FirstSeen = "first_seen",
  /** The work on a placed request ended. */
  End = "end",
  /** The holder withdraws an ask. */
  Drop = "drop",
  /** A holder's running and waiting requests, from which state is rebuilt. */
  Report = "report",
  /**
   * The coordinator has no record of asks that a holder reported as waiting.
   */
  Unknown = "unknown",
  /** The sender asked the receiver for placements and got no answer in time. */
  PassedOver = "passed_over",
  /** The sender asks whether the receiver can connect to a target. */
  ReachQuery = "reach_query",
  /** Answer to `ReachQuery`. */
  ReachReply = "reach_reply",
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

/** Validates changed rows of the target list that a peer sends. */
export const targetChangesSchema = z.array(targetChange);

/** Validates a `SuspectUpdate` from another instance or from the store. */
export const suspectUpdateSchema = z.object({
  fingerprint: z.string(),
  ended: z.array(z.string()).readonly(),
  endedInTrial: z.array(z.string()).readonly(),
  ageMs: z.number(),
  servedAgeMs: z.number().optional(),
});

/** Validates a `RolloutUpdate` from another instance or from the store. */
export const rolloutUpdateSchema = z.object({
  pool: z.string(),
  version: z.string(),
  withinMs: z.number(),
  rowVersion: z.number(),
  phase: z.enum(RolloutPhase),
  ageMs: z.number(),
  earlier: z.array(z.object({
    version: z.string(),
    rowVersion: z.number(),
    phase: z.enum(RolloutPhase),
  })).readonly().optional(),
});

const rateLimitUpdate = z.object({
  targetId: z.string(),
  limitPerS: z.number().nonnegative().optional(),
  ageMs: z.number(),
});

/** Validates streams of one origin, from another instance or the store. */
export const streamOriginGroupSchema = z.object({
  pool: z.string(),
  version: z.string(),
  keys: z.array(z.number()).readonly(),
  historyMs: z.number().nonnegative().optional(),
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
  promptParts: z.array(z.string()).readonly().optional(),
  streamKey: z.number().optional(),
  takesUp: z.literal(true).optional(),
  avoided: z.array(z.string()).readonly().optional(),
  version: z.string().optional(),
  route: z.string().optional(),
  longestGapMs: z.number().optional(),
});

/** Its numbers are checked where they are used, so that the rest is not lost. */
const loadReport = z.object({
  running: z.number(),
  waiting: z.number(),
  slowdownRatio: z.number(),
  ageMs: z.number(),
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
  unreachable: z.literal(true).optional(),
  maxRejectionsPerS: z.number().nonnegative().optional(),
  isRejected: z.boolean().optional(),
  isStreamCompleted: z.literal(true).optional(),
  endedTarget: z.object({
    fingerprint: z.string(),
    promptParts: z.array(z.object({
      part: z.string(),
      servedAgeMs: z.number().optional(),
    })).readonly().optional(),
    process: z.string(),
    inTrial: z.boolean(),
  }).optional(),
  clearedFingerprint: z.string().optional(),
  clearedParts: z.array(z.string()).readonly().optional(),
  load: loadReport.optional(),
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
  trialParts: z.array(z.string()).readonly().optional(),
});

const refusedByHolder = z.object({
  pool: z.string(),
  rank: z.number().nonnegative(),
  count: z.number().int().positive().max(MAX_REPORTED_REFUSAL_COUNT),
  callHashes: z.array(z.number()).max(MAX_REPORTED_CALL_HASHES).readonly(),
});

/** Validates the spending of a workspace that another instance sends. */
export const spendingHistorySchema = z.object({
  workspace: z.string(),
  spent: z.number(),
  bySecond: z.array(z.number()).readonly(),
});

/** Validates spending out of a share of the allotments. */
export const spendingLayerSchema = z.object({
  share: z.number().positive().max(1),
  origin: z.string().optional(),
  revision: z.number().optional(),
  spending: z.array(spendingHistorySchema).readonly(),
});

/** Validates spending of a workspace without ages. */
export const workspaceSpendingSchema = z.object({
  workspace: z.string(),
  spent: z.number(),
});

const report = z.object({
  holderId: z.string(),
  incarnation: z.number().optional(),
  running: z.array(running).readonly(),
  waiting: z.array(z.string()).readonly(),
  spent: z.array(workspaceSpendingSchema).readonly(),
  suspects: z.array(suspectUpdateSchema).readonly().optional(),
  streams: z.array(streamOriginGroupSchema).readonly().optional(),
  refused: z.array(refusedByHolder).max(MAX_REPORTED_REFUSALS).readonly()
    .optional(),
});

const admissionForecast = z.object({
  pool: z.string(),
  rank: z.number().nonnegative(),
  waitMs: z.number().nonnegative().max(MAX_FORECAST_WAIT_MS),
});

/** Validates the use of a pool's retry budget that another instance sends. */
const retryHistorySchema = z.object({
  pool: z.string(),
  firstSends: z.array(z.number()).readonly(),
  repeats: z.array(z.number()).readonly(),
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

/** Validates a message from a peer. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(MessageKind.Heartbeat),
    from: member,
    /** Uptime of the sender; only earlier versions read it. */
    memoryMs: z.number(),
    /**
     * Instance that the sender asks for placements; absent in heartbeats of
     * earlier versions.
     */
    coordinatorId: z.string().optional(),
    /** Version of the configuration that the sender applies; 0 for none. */
    configurationVersion: z.number(),
    /**
     * Time since the platform's store last told the sender that its
     * configuration is the newest; absent if it never did.
     */
    configurationAgeMs: z.number().nonnegative().optional(),
    /** Version up to which the sender has all changes of the target list. */
    targetsVersion: z.number(),
    /** Whether the sender can reach the platform's store. */
    reachesStore: z.boolean(),
    /** Other members from which the sender receives heartbeats. */
    others: z.array(member),
    /**
     * Members that may be running although the sender receives nothing from
     * them, with the age of what it knows. Absent if there are none.
     */
    absent: z.array(z.object({ info: member, ageMs: z.number().nonnegative() }))
      .readonly().optional(),
    /**
     * From the coordinator: spending of workspaces that have used much of their
     * allotments. Absent if this heartbeat carries none.
     */
    spending: z.array(spendingHistorySchema).readonly().optional(),
    /**
     * From the coordinator: spending out of shares of the allotments, beside
     * that out of the whole in `spending`. Absent if there was none.
     */
    partSpending: z.array(spendingLayerSchema).readonly().optional(),
    /** From the coordinator: share of the fleet that it reaches; 1 if absent. */
    spendingShare: z.number().positive().max(1).optional(),
    /**
     * From the coordinator: spending that the record in the platform's store
     * covers. Absent if `spending` is.
     */
    recordedSpending: z.array(workspaceSpendingSchema).readonly().optional(),
    /**
     * From the coordinator: sends that count towards retry budgets. Absent if
     * this heartbeat carries none.
     */
    retries: z.array(retryHistorySchema).readonly().optional(),
    /** From the coordinator: keys that explain ended targets, if any. */
    suspects: z.array(suspectUpdateSchema).readonly().optional(),
    /** From the coordinator: streams that began recently, if any. */
    streams: z.array(streamOriginGroupSchema).readonly().optional(),
    /** Roll-outs that are in progress or ended recently, if any. */
    rollouts: z.array(rolloutUpdateSchema).readonly().optional(),
    /** Rate limits of targets, and recently lifted limits, if any. */
    rateLimits: z.array(rateLimitUpdate).readonly().optional(),
    /**
     * From the coordinator of a large fleet: waits for which holders refuse
     * asks. Absent if there are none.
     */
    admission: z.array(admissionForecast).max(MAX_ADMISSION_FORECASTS)
      .readonly().optional(),
    /** Recent changes of the target list. */
    targetNews: targetChangesSchema,
    /**
     * Version of the target list since which `targetNews` has all changes up to
     * `targetsVersion`. Absent if it may lack some.
     */
    targetNewsSince: z.number().optional(),
  }),
  z.object({ kind: z.literal(MessageKind.Ask), ask }),
  z.object({ kind: z.literal(MessageKind.Queued), askId: z.string() }),
  z.object({ kind: z.literal(MessageKind.Decision), decision }),
  z.object({
    kind: z.literal(MessageKind.FirstSeen),
    askId: z.string(),
    /** Load that the target reported with the answer; absent if none. */
    load: loadReport.optional(),
  }),
  z.object({ kind: z.literal(MessageKind.End), end }),
  z.object({
    kind: z.literal(MessageKind.Drop),
    askId: z.string(),
    /** Target of its placement, if the holder knows it as gone or leaving. */
    unusableTargetId: z.string().optional(),
  }),
  z.object({ kind: z.literal(MessageKind.Report), report }),
  z.object({
    kind: z.literal(MessageKind.Unknown),
    askIds: z.array(z.string()).readonly(),
  }),
  z.object({ kind: z.literal(MessageKind.PassedOver) }),
  z.object({ kind: z.literal(MessageKind.ReachQuery), targetId: z.string() }),
  z.object({
    kind: z.literal(MessageKind.ReachReply),
    targetId: z.string(),
    isReached: z.boolean(),
  }),
]);

/** A message between two instances of the fleet. */
export type RoutingMessage = z.infer<typeof peerMessageSchema>;
