/** Items of work that callers request, and their calls. */

import type { CallRecord } from "./promise_checker.ts";

/** A piece of work that a caller requests, with one or more calls. */
export interface WorkItem {
  readonly itemId: string;
  /** Time of the first call. */
  readonly atMs: number;
  readonly workspace: string;
  readonly tier: string;
  readonly tierRank: number;
  /** Value of an answer before the deadline, as the policy sets it. */
  readonly value: number;
  readonly pool: string;
  /** Model that the pool serves; empty for services. */
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Time from a call until its answer is late. */
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Short text in place of the prompt; it determines the answer's length. */
  readonly prompt: string;
  readonly contentHash: string;
  readonly blockHashes: readonly string[];
}

/** A call with which a caller requests an item from an entry instance. */
export interface CallerCall {
  readonly requestId: string;
  readonly item: WorkItem;
  readonly sentAtMs: number;
  /** Time from sending the call until its answer is late. */
  readonly deadlineMs: number;
}

/**
 * Returns the identity of an item; items that share an idempotency key within a
 * workspace have the same identity.
 *
 * @param item The item.
 * @returns Workspace and key, or the item's own id if it has no key.
 */
export function itemIdentity(item: WorkItem): string {
  return itemKey(item) ?? item.itemId;
}

/**
 * Returns an item's idempotency key, qualified by its workspace.
 *
 * @param item The item.
 * @returns Workspace and key, or undefined if the item has no key.
 */
export function itemKey(item: WorkItem): string | undefined {
  return item.idempotencyKey === undefined
    ? undefined
    : `${item.workspace}/${item.idempotencyKey}`;
}

/**
 * Converts a call to the record that promises are checked on.
 *
 * @param call The call.
 * @param holderId Id of the instance that received the call.
 * @returns The record of the call.
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
