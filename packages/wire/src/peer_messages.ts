/**
 * Messages between entry instances, declared once and validated at the edge.
 *
 * No message carries a machine's clock: deadlines travel as time left.
 */

import * as z from "zod";
import { ErrorKind, targetLoadSchema } from "./work.ts";

/** Version of the peer protocol; peers of another version are turned away. */
export const PEER_PROTOCOL_VERSION = 1;

/** Kinds of peer message. */
export enum PeerMessageKind {
  Heartbeat = "heartbeat",
  Ask = "ask",
  AskWithdrawn = "ask_withdrawn",
  AskQueued = "ask_queued",
  AskRefused = "ask_refused",
  Grant = "grant",
  GrantReturned = "grant_returned",
  GrantUsed = "grant_used",
  PromptRead = "prompt_read",
  WorkDone = "work_done",
  Preempt = "preempt",
  ShedBelow = "shed_below",
  HolderReport = "holder_report",
  AsksUnknown = "asks_unknown",
  TargetsHeard = "targets_heard",
  SettingsOffer = "settings_offer",
  SettingsWanted = "settings_wanted",
}

const countSchema = z.number().int().nonnegative();
const durationMsSchema = z.number().nonnegative();

/** Names one grant: unique for a coordinator's incarnation. */
const grantRefSchema = {
  requestId: z.string(),
  grantId: z.string(),
};

/** What a coordinator must know of a request to place it. */
export const askDetailSchema = z.strictObject({
  requestId: z.string(),
  /** Rises with each ask of the same request; older answers are dropped. */
  askNumber: countSchema,
  pool: z.string(),
  workspace: z.string(),
  /** 0 is the highest tier. */
  tierRank: countSchema,
  value: z.number().nonnegative(),
  promptTokens: countSchema,
  expectedOutputTokens: countSchema,
  maxOutputTokens: countSchema,
  /** Time left until the caller's deadline when the message was sent. */
  timeLeftMs: durationMsSchema,
  /** Whether a running stream of it may be cancelled to make room. */
  cancellable: z.boolean(),
  /** Targets that refused the connection for this request. */
  excludedTargetIds: z.array(z.string()),
  /** Fingerprints of the prompt's leading blocks, first block first. */
  blockHashes: z.array(z.string()),
  /** Domains that the request may be asked at, this one included. */
  spreadOver: z.number().int().positive(),
  /** This domain's place among them, the nearest being 0. */
  spreadIndex: countSchema,
});
export type AskDetail = z.infer<typeof askDetailSchema>;

/** One request that a holder has running on a target. */
export const runningWorkSchema = z.strictObject({
  ...grantRefSchema,
  targetId: z.string(),
  pool: z.string(),
  workspace: z.string(),
  tierRank: countSchema,
  promptTokens: countSchema,
  expectedOutputTokens: countSchema,
  maxOutputTokens: countSchema,
  cancellable: z.boolean(),
});
export type RunningWork = z.infer<typeof runningWorkSchema>;

/** What one instance says of a member: its own word, or passed on. */
export const memberHeardSchema = z.strictObject({
  instanceId: z.string(),
  incarnation: countSchema,
  /** Rises with each heartbeat of that incarnation. */
  heartbeat: countSchema,
  leaving: z.boolean(),
  settingsVersion: countSchema,
});
export type MemberHeard = z.infer<typeof memberHeardSchema>;

/** A sign that a target is leaving or gone, passed to peers at once. */
export const targetSignSchema = z.strictObject({
  targetId: z.string(),
  leaving: z.boolean(),
  /** Rises on each change by the instance that saw it; the higher one counts. */
  signNumber: countSchema,
});
export type TargetSign = z.infer<typeof targetSignSchema>;

/** Every peer message. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(PeerMessageKind.Heartbeat),
    members: z.array(memberHeardSchema),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Ask),
    /** The failure domain whose targets are asked for. */
    failureDomain: z.string(),
    /** The holder's beat when it sent the ask; grants echo it. */
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
    ...grantRefSchema,
    failureDomain: z.string(),
    askNumber: countSchema,
    targetId: z.string(),
    /** The latest beat the coordinator had from the holder when it granted. */
    holderBeat: countSchema,
    /** Counted by the holder from when it sent that beat. */
    lifetimeMs: durationMsSchema,
    /** Targets passed over and why, for `why`. */
    passedOver: z.array(
      z.strictObject({ targetId: z.string(), reason: z.string() }),
    ),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.GrantReturned),
    ...grantRefSchema,
    pool: z.string(),
    failureDomain: z.string(),
    /** True when the target refused the connection. */
    targetUnreachable: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.GrantUsed),
    ...grantRefSchema,
    pool: z.string(),
    failureDomain: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.PromptRead),
    ...grantRefSchema,
    pool: z.string(),
    failureDomain: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.WorkDone),
    ...grantRefSchema,
    pool: z.string(),
    failureDomain: z.string(),
    targetId: z.string(),
    failed: z.boolean(),
    promptTokens: countSchema,
    cachedTokens: countSchema,
    outputTokens: countSchema,
    /** Dispatch to first token; 0 where none came. */
    firstTokenMs: durationMsSchema,
    /** First token to end; 0 where none came. */
    decodeMs: durationMsSchema,
    blockHashes: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Preempt),
    ...grantRefSchema,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShedBelow),
    pool: z.string(),
    /** The domain whose shard is told. */
    failureDomain: z.string(),
    /** Tiers of a greater rank are not to be served for a while. */
    tierRank: countSchema,
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.HolderReport),
    pool: z.string(),
    failureDomain: z.string(),
    holderBeat: countSchema,
    /** Every request whose ask this coordinator should still hold. */
    waitingRequestIds: z.array(z.string()),
    /** Everything the holder runs on targets of this pool and domain. */
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
    /** YAML of the settings tree at that version. */
    content: z.string(),
    changeId: z.string(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.SettingsWanted),
    haveVersion: countSchema,
  }),
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** The peer message of one kind. */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<
  PeerMessage,
  { kind: K }
>;
