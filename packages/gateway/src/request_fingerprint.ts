/**
 * Tells one request from another across attempts of its caller, each of which
 * has an id of its own, and across instances.
 */

import { Buffer } from "node:buffer";
import { hash64Hex } from "@chestnuthatch/core/text_hash";
import type { SuspectRequests } from "@chestnuthatch/routing/suspect_requests";
import type { RoutedCall } from "./routed_call.ts";

const NO_BODY = Buffer.alloc(0);

/**
 * Takes time in proportion to the body, and so is made only where it is needed.
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
 * @param call A request.
 * @param suspects Requests under which targets ended.
 * @returns Its fingerprint; undefined while no request is a suspect.
 */
export function fingerprintIfNeeded(
  call: RoutedCall,
  suspects: SuspectRequests,
): string | undefined {
  return suspects.hasSuspects ? fingerprintOf(call) : undefined;
}
