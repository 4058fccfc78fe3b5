/** Creates the core's description of a request, which has no body. */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { blockHashesOf } from "@chestnuthatch/core/block_hashes";
import type { RequestSpec } from "@chestnuthatch/core/request";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";

/** Mean size of a token, for prompts whose caller states no token count. */
const BYTES_PER_TOKEN = 4;

/**
 * Creates the description of a request that is passed to the core.
 *
 * @param request Validated body of the caller's HTTP request.
 * @param requestId Id given to the request.
 * @returns The description, with hashes in place of the request's body.
 */
export function createRequestSpec(
  request: CallerRequest,
  requestId: string,
): RequestSpec {
  const { body, promptTokens, stream, ...statedFields } = request;
  return {
    ...statedFields,
    requestId,
    promptTokens: promptTokens ?? estimatePromptTokens(body),
    stream: stream ?? false,
    contentHash: hashContent(request),
    blockHashes: blockHashesOf(body),
  };
}

function estimatePromptTokens(body: string): number {
  return Math.ceil(Buffer.byteLength(body) / BYTES_PER_TOKEN);
}

// A cryptographic hash, because requests with equal hashes share one answer.
function hashContent(request: CallerRequest): string {
  const {
    deadlineMs: _deadlineMs,
    stream: _stream,
    firstAttempt: _firstAttempt,
    ...content
  } = request;
  const fields = Object.entries(content).sort(compareNames);
  return createHash("sha256").update(JSON.stringify(fields)).digest(
    "base64url",
  );
}

function compareNames(
  left: [string, unknown],
  right: [string, unknown],
): number {
  return left[0] < right[0] ? -1 : 1;
}
