/**
 * Short codes that stand for field names in frames between instances.
 *
 * The order is part of the peer protocol: append only, or raise
 * `PEER_PROTOCOL_VERSION`. The first 24 take one byte each, the rest two. A
 * field that is missing here travels by its name.
 */

const FIELDS_BY_CODE = [
  "kind",
  "requestId",
  "askNumber",
  "pool",
  "workspace",
  "tierRank",
  "value",
  "promptTokens",
  "expectedOutputTokens",
  "maxOutputTokens",
  "timeLeftMs",
  "cancellable",
  "excludedTargetIds",
  "blockHashes",
  "failureDomain",
  "holderBeat",
  "ask",
  "grantId",
  "targetId",
  "lifetimeMs",
  "passedOver",
  "instanceId",
  "incarnation",
  "heartbeat",
  "leaving",
  "settingsVersion",
  "members",
  "reason",
  "predictedWaitMs",
  "error",
  "retryAfterMs",
  "targetUnreachable",
  "failed",
  "cachedTokens",
  "outputTokens",
  "firstTokenMs",
  "decodeMs",
  "waitingRequestIds",
  "running",
  "requestIds",
  "signs",
  "loads",
  "signNumber",
  "ageMs",
  "slotsUsed",
  "slotsTotal",
  "kvUsedTokens",
  "kvTotalTokens",
  "waitingRequests",
  "version",
  "content",
  "changeId",
  "haveVersion",
  "protocolVersion",
  "nonce",
  "proof",
  "spreadOver",
  "spreadIndex",
] as const;

/**
 * The table in the shape that the codec takes.
 *
 * @returns A fresh map from field name to code.
 */
export function fieldCodes(): Record<string, number> {
  return Object.fromEntries(
    FIELDS_BY_CODE.map((field, code) => [field, code]),
  );
}
