/** What callers want done. */

import type { CallRecord } from "./promise_checker.ts";

/** One thing a caller wants done, whatever it takes. */
export interface WorkItem {
  readonly itemId: string;
  readonly atMs: number;
  readonly workspace: string;
  readonly tier: string;
  readonly tierRank: number;
  /** Worth of an answer in time. */
  readonly value: number;
  readonly pool: string;
  /** Model of the pool; empty for services. */
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Short text that stands for the prompt and tells the answer's length. */
  readonly prompt: string;
  readonly contentHash: string;
  readonly blockHashes: readonly string[];
}

/** One call about an item at one entry instance. */
export interface CallerCall {
  readonly requestId: string;
  readonly item: WorkItem;
  readonly sentAtMs: number;
  /** Time the caller will wait for this call. */
  readonly deadlineMs: number;
}

/**
 * Names what a caller wants done, the same for calls that share a key.
 *
 * @param item The item.
 * @returns Workspace and key, or the item's own id.
 */
export function itemIdentity(item: WorkItem): string {
  return itemKey(item) ?? item.itemId;
}

/**
 * Names an item's idempotency key within its workspace.
 *
 * @param item The item.
 * @returns Workspace and key, or nothing where it has no key.
 */
export function itemKey(item: WorkItem): string | undefined {
  return item.idempotencyKey === undefined
    ? undefined
    : `${item.workspace}/${item.idempotencyKey}`;
}

/**
 * Describes a call to the checks.
 *
 * @param call The call.
 * @param holderId The instance that received it.
 * @returns The record.
 */
export function toCallRecord(call: CallerCall, holderId: string): CallRecord {
  const { item } = call;
  return {
    requestId: call.requestId,
    itemId: itemIdentity(item),
    workspaceKey: itemKey(item),
    idempotent: item.idempotent,
    pool: item.pool,
    tierRank: item.tierRank,
    holderId,
    sentAtMs: call.sentAtMs,
  };
}
