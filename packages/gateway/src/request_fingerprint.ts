/**
 * Fingerprints that identify a request across its caller's attempts, each of
 * which has its own id, and across instances.
 */

import { Buffer } from "node:buffer";
import { hash64Hex } from "@chestnuthatch/core/text_hash";
import type { SuspectRequests } from "@chestnuthatch/routing/suspect_requests";
import type { RoutedCall } from "./routed_call.ts";

const NO_BODY = Buffer.alloc(0);

/**
 * Computes a request's fingerprint. The whole body is hashed, so it is computed
 * only where it is needed.
 *
 * @param call A request.
 * @returns The same text for the same workspace, method, path and body.
 */
export function fingerprintOf(call: RoutedCall): string {
  const { workspace, method, path, body = NO_BODY } = call;
  const head = `${workspace?.name ?? ""} ${method} ${path} `;
  return hash64Hex(Buffer.concat([Buffer.from(head), body]));
}

/**
 * Computes a request's fingerprint while any request is a suspect.
 *
 * @param call A request.
 * @param suspects Requests during which target processes ended.
 * @returns The fingerprint; undefined while no request is a suspect.
 */
export function fingerprintIfNeeded(
  call: RoutedCall,
  suspects: SuspectRequests,
): string | undefined {
  return suspects.hasSuspects ? fingerprintOf(call) : undefined;
}
