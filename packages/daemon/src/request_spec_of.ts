/** Makes the core's view of a caller's request; the body stays at the edge. */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { blockHashesOf } from "@chestnuthatch/core/block_hashes";
import type { RequestSpec } from "@chestnuthatch/core/request";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";

const BYTES_PER_TOKEN = 4;

/**
 * Describes a request to the core.
 *
 * @param request What the caller sent, checked.
 * @param requestId The id given to it.
 * @returns The request without its body.
 */
export function requestSpecOf(
  request: CallerRequest,
  requestId: string,
): RequestSpec {
  const { body, promptTokens, stream, ...stated } = request;
  return {
    ...stated,
    requestId,
    promptTokens: promptTokens ?? estimateTokens(body),
    stream: stream ?? false,
    contentHash: contentHashOf(request),
    blockHashes: blockHashesOf(body),
  };
}

function estimateTokens(body: string): number {
  return Math.ceil(Buffer.byteLength(body) / BYTES_PER_TOKEN);
}

// A cryptographic hash: two requests with one hash would share one answer.
function contentHashOf(request: CallerRequest): string {
  const {
    deadlineMs: _deadlineMs,
    stream: _stream,
    firstAttempt: _firstAttempt,
    ...content
  } = request;
  const fields = Object.entries(content).sort(byName);
  return createHash("sha256").update(JSON.stringify(fields)).digest(
    "base64url",
  );
}

function byName(left: [string, unknown], right: [string, unknown]): number {
  return left[0] < right[0] ? -1 : 1;
}
