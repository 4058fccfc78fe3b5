/**
 * Tells which failure domains cannot be reached from here, so that their targets
 * are passed over at once and not found out one by one.
 *
 * One sign alone is not enough: a domain whose instances all died still has its
 * targets, and a target that gives no answer may just be dead. Where both come
 * together, the way there is cut.
 */

import type { MemberView } from "./member_view.ts";
import type { KnownTarget } from "./target_directory.ts";

/**
 * Time for which a domain counts as cut after one of its targets could not be
 * reached; then one request tries again. As long as a failing target's longest
 * pause.
 */
const CUT_MS = 3200;

/** Failure domains that this instance lately failed to reach. */
export class CutDomains {
  readonly #members: MemberView;
  readonly #untilMs = new Map<string, number>();

  /** @param members The members of the fleet. */
  constructor(members: MemberView) {
    this.#members = members;
  }

  /**
   * Notes a target that gave no sign of life.
   *
   * @param failureDomain The target's failure domain.
   * @param nowMs The local time.
   * @returns Whether the whole domain counts as cut from now on.
   */
  unanswered(failureDomain: string, nowMs: number): boolean {
    const isCut = this.#members.isSilentDomain(failureDomain, nowMs);
    if (isCut) {
      this.#untilMs.set(failureDomain, nowMs + CUT_MS);
    }
    return isCut;
  }

  /**
   * @param targets Targets of any domains.
   * @param nowMs The local time.
   * @returns Those that cannot be reached, by what is known of their domains.
   */
  unreachable(targets: readonly KnownTarget[], nowMs: number): KnownTarget[] {
    return this.#untilMs.size === 0
      ? []
      : targets.filter((target) => this.#isCut(target.failureDomain, nowMs));
  }

  /** A domain of which any instance is heard again is no longer cut. */
  #isCut(failureDomain: string, nowMs: number): boolean {
    return nowMs < (this.#untilMs.get(failureDomain) ?? -Infinity) &&
      this.#members.isSilentDomain(failureDomain, nowMs);
  }
}
