/**
 * Confirms that this instance knows all software versions that targets have,
 * when a caller takes up a stream whose version is not recorded. A version that
 * joined since the list of targets was read last may have begun the stream.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { Clock, PlatformPort } from "./ports.ts";

/** Minimum time between two reads of the list, also if they fail at once. */
const MIN_READ_INTERVAL_MS = 100;

/** Dependencies and callbacks of {@link TargetListConfirmation}. */
export interface TargetListConfirmationParts {
  readonly board: RoutingBoard;
  readonly coordinator: Pick<Coordinator, "awaitsStreams">;
  readonly platform: Pick<PlatformPort, "readTargets" | "readStreams">;
  readonly clock: Clock;
  /** @returns Whether the platform's store is reachable. */
  reachesStore(): boolean;
  /** @returns Milliseconds for which others have had a newer list of targets. */
  targetsLagMs(): number;
  /** Called when the list was confirmed. */
  onConfirmed(): void;
}

/** Keeps the time up to which the versions of all targets are known. */
export class TargetListConfirmation {
  readonly #parts: TargetListConfirmationParts;
  #isReading = false;
  #readAtMs = -Infinity;

  /** @param parts Dependencies and callbacks. */
  constructor(parts: TargetListConfirmationParts) {
    this.#parts = parts;
  }

  /** Confirms the list if asks wait for that; to be called regularly. */
  tick(): void {
    const { coordinator, reachesStore } = this.#parts;
    if (!coordinator.awaitsStreams) {
      return;
    }
    if (reachesStore()) {
      void this.#confirmByStore();
    } else {
      this.#confirmByMembers();
    }
  }

  /**
   * The record is read too: the list does not tell the version of a target that
   * came and went, or that restarted under its id, since it was read last.
   */
  async #confirmByStore(): Promise<void> {
    const { platform, clock } = this.#parts;
    const nowMs = clock.nowMs();
    if (this.#isReading || nowMs - this.#readAtMs < MIN_READ_INTERVAL_MS) {
      return;
    }
    this.#isReading = true;
    this.#readAtMs = nowMs;
    const areRead = await Promise.all([
      platform.readTargets(),
      platform.readStreams(),
    ]).finally(() => this.#isReading = false);
    if (areRead.every((isRead) => isRead)) {
      this.#confirmed(nowMs);
    }
  }

  /**
   * Without the store, a version joins unnoticed only at instances that this one
   * does not hear.
   */
  #confirmByMembers(): void {
    const { board: { members }, clock, targetsLagMs } = this.#parts;
    const nowMs = clock.nowMs();
    if (members.shares.reachable(nowMs) < 1 || targetsLagMs() > 0) {
      return;
    }
    const heardAtMs = members.alive(nowMs)
      .filter(({ instanceId }) => instanceId !== members.selfId)
      .map(({ lastHeartbeatAtMs }) => lastHeartbeatAtMs);
    this.#confirmed(Math.min(nowMs, ...heardAtMs));
  }

  #confirmed(asOfMs: number): void {
    this.#parts.board.versionCoverage.confirmed(asOfMs);
    this.#parts.onConfirmed();
  }
}
