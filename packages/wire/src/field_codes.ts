/**
 * Numeric codes that replace field names in frames between instances.
 *
 * The order is part of the peer protocol: append only, or raise
 * `PEER_PROTOCOL_VERSION`. The first 24 codes take one byte each, the others
 * two. A field that is not listed is sent under its name.
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
 * Builds the key map of the CBOR codec.
 *
 * @returns A new object that maps each field name to its code.
 */
export function fieldCodes(): Record<string, number> {
  return Object.fromEntries(
    FIELDS_BY_CODE.map((field, code) => [field, code]),
  );
}
