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
import type { AnsweredParts } from "./answered_parts.ts";
import type { Clock } from "./ports.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Collaborators that decide which keys of a request are needed. */
export interface CrashKeyParts {
  readonly board: { readonly suspects: CrashSuspects };
  readonly answeredParts: AnsweredParts;
  readonly clock: Clock;
}

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
 * @param answeredParts Parts that targets have answered.
 * @returns Its keys.
 */
export function crashKeysOf(
  call: RoutedCall,
  answeredParts: AnsweredParts,
): CrashKeys {
  const parts = answeredParts.leastAnswered(call);
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
 * @param parts Keys under which targets ended, parts that targets have
 * answered, and the local time.
 * @param call A request.
 * @returns The keys; none while no target has ended recently.
 */
export function crashKeysIfNeeded(
  { board: { suspects }, answeredParts, clock }: CrashKeyParts,
  call: RoutedCall,
): CrashKeys {
  return suspects.needsKeys(clock.nowMs())
    ? crashKeysOf(call, answeredParts)
    : {};
}
