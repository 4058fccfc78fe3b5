/**
 * The processes of members, as far as they matter for the limits that a
 * coordinator hands out on behalf of the members.
 */

import type { MemberInfo, MemberRecord } from "./member_record.ts";
import { MEMBER_TIMEOUT_MS } from "./member_timeout.ts";

/**
 * Silence after which a restarted member may have been cut off before. A killed
 * process usually runs again sooner.
 */
const LONG_SILENCE_MS = 4000;

/** A process whose heartbeats are or were received here or by others. */
interface HeardProcess {
  readonly incarnation: number;
  /** Local time of its first heartbeat here; Infinity before any. */
  readonly sinceMs: number;
  /** Local time of the last heartbeat that others report. */
  readonly reportedAtMs: number;
}

/** Tracks the process that was last heard of each member. */
export class MemberProcesses {
  /** Window of the limits that are divided by shares of the fleet. */
  limitWindowMs = 0;
  readonly #heard = new Map<string, HeardProcess>();
  /** When a member's process sent a heartbeat again after its timeout. */
  readonly #recoveredAtMs = new Map<string, number>();
  /** From when on the parts of members that were silent for long count. */
  readonly #countsFromMs = new Map<string, number>();

  /**
   * Records a heartbeat of a member.
   *
   * @param info Description of the member in its heartbeat.
   * @param of What was known of the member before, and the local time.
   */
  heartbeatReceived(
    { instanceId, incarnation }: MemberInfo,
    { last, nowMs }: { last: MemberRecord | undefined; nowMs: number },
  ): void {
    const lastHeartbeatAtMs = last?.lastHeartbeatAtMs ?? -Infinity;
    const hasTimedOut = nowMs - lastHeartbeatAtMs >= MEMBER_TIMEOUT_MS;
    if (last?.incarnation === incarnation && hasTimedOut) {
      this.#recoveredAtMs.set(instanceId, nowMs);
    }
    const heard = this.#heard.get(instanceId);
    if (heard?.incarnation === incarnation && heard.sinceMs < Infinity) {
      return;
    }
    const reportedAtMs = -Infinity;
    this.#heard.set(instanceId, { incarnation, sinceMs: nowMs, reportedAtMs });
    if (heard === undefined || heard.incarnation === incarnation) {
      return;
    }
    const lastAtMs = Math.max(lastHeartbeatAtMs, heard.reportedAtMs);
    if (nowMs - lastAtMs >= LONG_SILENCE_MS) {
      this.#countsFromMs.set(instanceId, nowMs + this.limitWindowMs);
    }
  }

  /**
   * Records that another member has not heard from a process for a while. This
   * tells an instance that has just started which members were silent before.
   *
   * @param info Description of the silent member.
   * @param lastAtMs Local time of the last heartbeat that was received of it.
   */
  silenceReported(
    { instanceId, incarnation }: MemberInfo,
    lastAtMs: number,
  ): void {
    const heard = this.#heard.get(instanceId);
    const isNewer = heard === undefined || incarnation > heard.incarnation ||
      (incarnation === heard.incarnation && lastAtMs > heard.reportedAtMs);
    if (isNewer) {
      const sinceMs = incarnation === heard?.incarnation
        ? heard.sinceMs
        : Infinity;
      this.#heard.set(instanceId, {
        incarnation,
        sinceMs,
        reportedAtMs: lastAtMs,
      });
    }
  }

  /**
   * @param instanceId Id of a member.
   * @returns Local time of the first heartbeat of its process; Infinity before
   * any.
   */
  heardSinceMs(instanceId: string): number {
    return this.#heard.get(instanceId)?.sinceMs ?? Infinity;
  }

  /**
   * @param instanceId Id of a member.
   * @returns Local time at which its process sent a heartbeat again after its
   * timeout; -Infinity if it never did.
   */
  recoveredAtMs(instanceId: string): number {
    return this.#recoveredAtMs.get(instanceId) ?? -Infinity;
  }

  /**
   * Returns from when on a member's part of the fleet's limits may be handed out
   * by a coordinator. A process that began after a long silence of its
   * predecessor may follow one that was cut off, handed out its part and was
   * killed; that spending leaves the window of the limits first.
   *
   * @param instanceId Id of the member.
   * @returns Local time in milliseconds; -Infinity if it counts always.
   */
  countsFromMs(instanceId: string): number {
    return this.#countsFromMs.get(instanceId) ?? -Infinity;
  }

  /**
   * Forgets a member.
   *
   * @param instanceId Id of the member.
   */
  evict(instanceId: string): void {
    this.#heard.delete(instanceId);
    this.#recoveredAtMs.delete(instanceId);
    this.#countsFromMs.delete(instanceId);
  }
}
