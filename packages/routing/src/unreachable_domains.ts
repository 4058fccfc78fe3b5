/**
 * Detects failure domains that are unreachable from this instance, so that
 * their targets are excluded at once and not only after each of them has
 * failed.
 *
 * A single symptom is not enough: a domain whose instances all died may still
 * have its targets, and a target that does not answer may just be dead. Both
 * symptoms together mean that the network path to the domain is cut.
 */

import type { MemberView } from "./member_view.ts";
import type { KnownTarget } from "./target_directory.ts";

/**
 * Time for which a domain counts as unreachable after one of its targets could
 * not be reached; then one request tries again. It equals the longest pause of
 * a failing target.
 */
const UNREACHABLE_MS = 3200;

/** Failure domains that this instance recently failed to reach. */
export class UnreachableDomains {
  readonly #members: MemberView;
  readonly #untilMs = new Map<string, number>();

  /** @param members Membership, from which silent domains are determined. */
  constructor(members: MemberView) {
    this.#members = members;
  }

  /**
   * Records that a target did not respond at all.
   *
   * @param failureDomain Failure domain of the target.
   * @param nowMs The local time.
   * @returns Whether the whole domain counts as unreachable from now on.
   */
  targetUnreachable(failureDomain: string, nowMs: number): boolean {
    const isUnreachable = this.#members.isSilentDomain(failureDomain, nowMs);
    if (isUnreachable) {
      this.#untilMs.set(failureDomain, nowMs + UNREACHABLE_MS);
    }
    return isUnreachable;
  }

  /**
   * @param targets Targets of any failure domains.
   * @param nowMs The local time.
   * @returns The targets whose domain counts as unreachable.
   */
  unreachableTargets(
    targets: readonly KnownTarget[],
    nowMs: number,
  ): KnownTarget[] {
    return this.#untilMs.size === 0
      ? []
      : targets.filter((target) =>
        this.#isUnreachable(target.failureDomain, nowMs)
      );
  }

  /** A heartbeat of any of its instances makes a domain reachable again. */
  #isUnreachable(failureDomain: string, nowMs: number): boolean {
    return nowMs < (this.#untilMs.get(failureDomain) ?? -Infinity) &&
      this.#members.isSilentDomain(failureDomain, nowMs);
  }
}
