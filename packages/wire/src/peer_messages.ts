/**
 * Schemas of the messages between entry instances; received messages are
 * validated against them.
 *
 * A holder is the instance that received a caller's request and answers it. A
 * coordinator is the instance that schedules the targets of one shard: the
 * targets of a pool in one failure domain. A holder sends an ask to a
 * coordinator to get a slot on a target; the coordinator answers with a grant,
 * a predicted wait or a refusal.
 *
 * No message carries a wall-clock time: deadlines are sent as time left, since
 * the clocks of instances differ.
 */

import * as z from "zod";
import { ErrorKind, targetLoadSchema } from "./shared_types.ts";

/** Version of the peer protocol; peers with another version are rejected. */
export const PEER_PROTOCOL_VERSION = 1;

/** Kinds of message between entry instances. */
export enum PeerMessageKind {
  /** Gossip about members: which are alive, and their settings version. */
  Heartbeat = "heartbeat",
  /** Holder to coordinator: requests a slot for a request. */
  Ask = "ask",
  /** Holder to coordinator: cancels an ask. */
  AskWithdrawn = "ask_withdrawn",
  /** Coordinator to holder: the ask waits in the queue. */
  AskQueued = "ask_queued",
  /** Coordinator to holder: the ask gets no slot. */
  AskRefused = "ask_refused",
  /** Coordinator to holder: a lease on a slot of a target for a request. */
  Grant = "grant",
  /** Holder to coordinator: returns a grant that was not used. */
  GrantReturned = "grant_returned",
  /** Holder to coordinator: the request was dispatched under its grant. */
  GrantUsed = "grant_used",
  /** Holder to coordinator: the target has processed the prompt. */
  PromptRead = "prompt_read",
  /** Holder to coordinator: the work ended, with its measurements. */
  WorkDone = "work_done",
  /** Coordinator to holder: cancel a stream in favour of a higher tier. */
  Preempt = "preempt",
  /** To the coordinator of a shard: give lower tiers no slots for a while. */
  ShedBelow = "shed_below",
  /** Holder to coordinator: snapshot of its waiting asks and running work. */
  HolderReport = "holder_report",
  /** Coordinator to holder: asks in a report that it does not have queued. */
  AsksUnknown = "asks_unknown",
  /** Gossip about targets: signs that they leave, and their loads. */
  TargetsHeard = "targets_heard",
  /** Sends a version of the settings to a peer. */
  SettingsOffer = "settings_offer",
  /** Requests a version of the settings newer than the sender's. */
  SettingsWanted = "settings_wanted",
}

const countSchema = z.number().int().nonnegative();
const durationMsSchema = z.number().nonnegative();

/** Identifies a grant; its id is unique per incarnation of a coordinator. */
const grantRefFields = {
  requestId: z.string(),
  grantId: z.string(),
};

/**
 * An ask: the properties of a request that a coordinator needs to schedule it.
 */
export const askDetailSchema = z.strictObject({
  requestId: z.string(),
  /**
   * Increases with each ask for the same request; answers to earlier asks are
   * dropped.
   */
  askNumber: countSchema,
  pool: z.string(),
  workspace: z.string(),
  /** Priority of the request's tier; 0 is the highest. */
  tierRank: countSchema,
  /** Value of an answer, in the unit of the settings. */
  value: z.number().nonnegative(),
  promptTokens: countSchema,
  expectedOutputTokens: countSchema,
  maxOutputTokens: countSchema,
  /** Time until the caller's deadline when the message was sent. */
  timeLeftMs: durationMsSchema,
  /** Whether its running stream may be cancelled in favour of other work. */
  cancellable: z.boolean(),
  /** Targets that refused a connection for this request. */
  excludedTargetIds: z.array(z.string()),
  /** Hashes of the prompt's leading blocks, first block first. */
  blockHashes: z.array(z.string()),
  /** Number of failure domains that the holder may ask, including this one. */
  spreadOver: z.number().int().positive(),
  /** Position of this failure domain in the order of asking, from 0. */
  spreadIndex: countSchema,
});

/** An ask: a holder's request for a slot on a target, as sent. */
export type AskDetail = z.infer<typeof askDetailSchema>;

/** One request that runs on a target under a grant. */
export const runningWorkSchema = z.strictObject({
  ...grantRefFields,
  targetId: z.string(),
  pool: z.string(),
  workspace: z.string(),
  tierRank: countSchema,
  promptTokens: countSchema,
  expectedOutputTokens: countSchema,
  maxOutputTokens: countSchema,
  cancellable: z.boolean(),
});

/** A request in flight on a target, as a holder's report lists it. */
export type RunningWork = z.infer<typeof runningWorkSchema>;

/** State of a member, as the member itself or a peer that forwards it sends. */
export const memberStateSchema = z.strictObject({
  instanceId: z.string(),
  incarnation: countSchema,
  /** Increases with each heartbeat of the incarnation. */
  heartbeat: countSchema,
  leaving: z.boolean(),
  settingsVersion: countSchema,
});

/** State of one member of the fleet, as heartbeats carry it. */
export type MemberState = z.infer<typeof memberStateSchema>;

/**
 * A sign: the report of one instance whether a target is leaving or gone, sent
 * to peers without delay.
 */
export const targetSignSchema = z.strictObject({
  targetId: z.string(),
  leaving: z.boolean(),
  /** Raised by the instance that observes a change; the highest applies. */
  signNumber: countSchema,
});

/** Report that a target is leaving or gone, or no longer so. */
export type TargetSign = z.infer<typeof targetSignSchema>;

/** Schema of every message between entry instances. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(PeerMessageKind.Heartbeat),
    members: z.array(memberStateSchema),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Ask),
    /** Failure domain of the targets that the holder asks for. */
    failureDomain: z.string(),
    /** The holder's beat, a counter it raises regularly; grants echo it. */
    holderBeat: countSchema,
    ask: askDetailSchema,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.AskWithdrawn),
    pool: z.string(),
    failureDomain: z.string(),
    requestId: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.AskQueued),
    failureDomain: z.string(),
    requestId: z.string(),
    askNumber: countSchema,
    predictedWaitMs: durationMsSchema,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.AskRefused),
    failureDomain: z.string(),
    requestId: z.string(),
    askNumber: countSchema,
    error: z.enum(ErrorKind),
    retryAfterMs: durationMsSchema,
    reason: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Grant),
    ...grantRefFields,
    failureDomain: z.string(),
    askNumber: countSchema,
    targetId: z.string(),
    /** Latest beat that the coordinator had received from the holder. */
    holderBeat: countSchema,
    /** Lifetime of the grant, counted from when the holder began that beat. */
    lifetimeMs: durationMsSchema,
    /** Targets not chosen, each with the reason that `why` shows. */
    passedOver: z.array(
      z.strictObject({ targetId: z.string(), reason: z.string() }),
    ),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.GrantReturned),
    ...grantRefFields,
    pool: z.string(),
    failureDomain: z.string(),
    /** Whether the target refused the connection. */
    targetUnreachable: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.GrantUsed),
    ...grantRefFields,
    pool: z.string(),
    failureDomain: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.PromptRead),
    ...grantRefFields,
    pool: z.string(),
    failureDomain: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.WorkDone),
    ...grantRefFields,
    pool: z.string(),
    failureDomain: z.string(),
    targetId: z.string(),
    failed: z.boolean(),
    promptTokens: countSchema,
    cachedTokens: countSchema,
    outputTokens: countSchema,
    /** Time from dispatch to the first token; 0 where none came. */
    firstTokenMs: durationMsSchema,
    /** Time from the first token to the end; 0 where none came. */
    decodeMs: durationMsSchema,
    blockHashes: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Preempt),
    ...grantRefFields,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShedBelow),
    pool: z.string(),
    /** Failure domain of the shard that is to shed load. */
    failureDomain: z.string(),
    /** Tiers of a greater rank get no slots for a while. */
    tierRank: countSchema,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.HolderReport),
    pool: z.string(),
    failureDomain: z.string(),
    holderBeat: countSchema,
    /** Requests whose asks this coordinator should have queued. */
    waitingRequestIds: z.array(z.string()),
    /** All work of the holder on targets of this pool and failure domain. */
    running: z.array(runningWorkSchema),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.AsksUnknown),
    pool: z.string(),
    failureDomain: z.string(),
    requestIds: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.TargetsHeard),
    signs: z.array(targetSignSchema),
    loads: z.array(targetLoadSchema),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.SettingsOffer),
    version: countSchema,
    /** Settings tree at that version, as YAML. */
    content: z.string(),
    changeId: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.SettingsWanted),
    haveVersion: countSchema,
  }),
]);

/** A message between entry instances, told apart by `kind`. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** The peer message whose kind is `K`. */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  { kind: K }
>;
