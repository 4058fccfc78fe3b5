/**
 * Keys by which crashes of targets are attributed to requests: a fingerprint
 * that identifies a request across its caller's attempts, each of which has its
 * own id, and hashes of the parts of its prompt. They are the same on all
 * instances.
 */

import { Buffer } from "node:buffer";
import { hash64Hex } from "@chestnuthatch/core/text_hash";
import type {
  CrashKeys,
  CrashSuspects,
} from "@chestnuthatch/routing/crash_suspects";
import type { RoutedCall } from "./routed_call.ts";

const NO_BODY = Buffer.alloc(0);

/** Parts of a prompt that are examined, from its first one. */
const MAX_SHARED_PARTS = 32;

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
 * Lists the parts of a request's prompt that other requests may share.
 *
 * @param call A request.
 * @returns Ids of the parts; all but the last one, which is its own.
 */
export function sharedPartsOf({ facts: { promptParts } }: RoutedCall) {
  return [...new Set(promptParts.slice(0, -1).slice(0, MAX_SHARED_PARTS))];
}

/**
 * Computes the key of a part of prompts. Targets of another pool may run other
 * software, so that the same part has another key there.
 *
 * @param pool Name of the pool.
 * @param part Id of the part.
 * @returns The key.
 */
export function partKeyOf(pool: string, part: string): string {
  return hash64Hex(Buffer.from(`${pool} ${part}`));
}

/**
 * Computes all keys of a request.
 *
 * @param call A request.
 * @returns Its keys.
 */
export function crashKeysOf(call: RoutedCall): CrashKeys {
  const parts = sharedPartsOf(call);
  return {
    fingerprint: fingerprintOf(call),
    ...(parts.length > 0
      ? { promptParts: parts.map((part) => partKeyOf(call.pool, part)) }
      : undefined),
  };
}

/**
 * Computes the keys of a request while crashes have to be attributed.
 *
 * @param call A request.
 * @param suspects Keys under which target processes ended.
 * @param nowMs The local time.
 * @returns The keys; none while no target has ended recently.
 */
export function crashKeysIfNeeded(
  call: RoutedCall,
  suspects: CrashSuspects,
  nowMs: number,
): CrashKeys {
  return suspects.needsKeys(nowMs) ? crashKeysOf(call) : {};
}
