/**
 * Targets that holders could not use, by the holders' failure domain, so that
 * the coordinator stops placing requests there before every holder has failed.
 *
 * Load: a fifth of a pool's targets crash or are removed at once, while requests
 * wait. A failed attempt ends at once, so that such a target always has a free
 * slot and attracts requests from the queue. Each holder has its own circuit
 * breaker (`target_health.ts`) and has to fail there before it avoids the
 * target.
 */

import { AskingHolders } from "./asking_holders.ts";
import type { MemberView } from "./member_view.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { WorkEnd } from "./work_ask.ts";

/** First pause of a target; each failure after its end doubles it. */
const MIN_PAUSE_MS = 400;

/** Longest pause before a request is let through. */
const MAX_PAUSE_MS = 3200;

/** Time for which a failure counts towards the first pause of a target. */
const FAILURE_WINDOW_MS = 2000;

/**
 * Holders that have to fail at a target before it is paused: a single one may
 * itself be cut off from the network.
 */
const MIN_FAILED_HOLDERS = 2;

/**
 * Time after the end of a pause for which a target without requests is kept.
 * The next failure counts as its first one after that.
 */
const LAPSED_RETENTION_MS = 2000;

const NONE: readonly string[] = [];

/** Work at a target, and the holder that it was placed for. */
export interface TargetWork {
  readonly targetId: string;
  readonly holderId: string;
  /** Local time of the placement in milliseconds. */
  readonly placedAtMs: number;
}

/** A target that is paused for the holders of a failure domain. */
export interface PausedTarget {
  readonly targetId: string;
  /** Failure domain of the holders. */
  readonly failureDomain: string;
  /** Holders that could not use it since any of the domain last did. */
  readonly holderCount: number;
  /** Length of its latest pause. */
  readonly pauseMs: number;
}

/** Failures and pauses of a target for one failure domain. */
interface UnusableTarget {
  /** Local time of the latest failure, by holder. */
  readonly failedAtMs: Map<string, number>;
  /** When a holder last returned a placement, as the target had left. */
  returnedAtMs: number;
  /** Length of the latest pause; 0 before the first. */
  pauseMs: number;
  /** Local time at which the next request may be let through. */
  untilMs: number;
  /** Whether a request was let through, whose outcome is not known yet. */
  isProbed: boolean;
}

/** Targets that holders of one failure domain could not use. */
interface DomainTargets {
  readonly byId: Map<string, UnusableTarget>;
  /** Ids of the targets that get no requests; rebuilt when outdated. */
  pausedIds: ReadonlySet<string>;
  /** Local time at which `pausedIds` is outdated. */
  validUntilMs: number;
}

/** Targets that a coordinator gives no requests, as holders failed there. */
export class UnusableTargets {
  readonly #members: MemberView;
  readonly #byDomain = new Map<string, DomainTargets>();
  readonly #asking: AskingHolders;
  /** Failure domains of all members when a pause last began. */
  #domains: ReadonlySet<string> = new Set();

  /** @param members Members of the fleet, with their failure domains. */
  constructor(members: MemberView) {
    this.#members = members;
    this.#asking = new AskingHolders(members);
  }

  /**
   * Records that a holder sent an ask.
   *
   * @param holderId Id of the holder.
   * @param nowMs Current local time in milliseconds.
   */
  asked(holderId: string, nowMs: number): void {
    this.#asking.asked(holderId, nowMs);
  }

  /**
   * Records what the end of some work shows about its target.
   *
   * @param end Outcome of the work.
   * @param of The work, absent if it was not placed here, and the current local
   * time in milliseconds.
   */
  ended(
    { targetId, failed, unreachable, endedTarget, isRejected, firstMs }:
      WorkEnd,
    { work, nowMs }: { work?: TargetWork; nowMs: number },
  ): void {
    if (work?.targetId !== targetId) {
      return;
    }
    if (failed && endedTarget !== undefined) {
      // Other instances were refused as well, so it is not a partition.
      this.#domainsOfMembers()
        .forEach((domain) => this.#failedIn(domain, work, nowMs));
    } else if (failed && unreachable) {
      this.#failed(work, nowMs);
    } else if (isRejected || (!failed && firstMs !== undefined)) {
      this.reached(work);
    }
  }

  /**
   * Records that a holder returned a placement, as it knows the target as
   * removed or leaving.
   *
   * @param work The work that was placed.
   * @param nowMs Current local time in milliseconds.
   */
  returned(work: TargetWork, nowMs: number): void {
    const target = this.#failed(work, nowMs);
    if (target !== undefined) {
      target.returnedAtMs = nowMs;
    }
  }

  #failed(work: TargetWork, nowMs: number): UnusableTarget | undefined {
    const domain = this.#members.get(work.holderId)?.failureDomain;
    return domain === undefined
      ? undefined
      : this.#failedIn(domain, work, nowMs);
  }

  #failedIn(
    failureDomain: string,
    { targetId, holderId }: TargetWork,
    nowMs: number,
  ): UnusableTarget | undefined {
    if (this.#members.isFullMesh) {
      return undefined;
    }
    const domain = this.#domain(failureDomain);
    const target = domain.byId.get(targetId) ?? newTarget();
    domain.byId.set(targetId, target);
    target.failedAtMs.set(holderId, nowMs);
    const isFirst = target.pauseMs === 0;
    // During a pause, requests that were sent before it still fail.
    const isDue = isFirst
      ? failedHolderCount(target, nowMs) >= MIN_FAILED_HOLDERS ||
        this.#asking.isOnly(holderId, { failureDomain, nowMs })
      : target.isProbed || nowMs >= target.untilMs;
    if (isDue) {
      target.pauseMs = isFirst
        ? MIN_PAUSE_MS
        : Math.min(MAX_PAUSE_MS, 2 * target.pauseMs);
      target.untilMs = nowMs + target.pauseMs;
      target.isProbed = false;
      domain.validUntilMs = -Infinity;
      this.#domains = this.#domainsOfMembers();
    }
    return target;
  }

  /**
   * Records that a target answered a holder, which ends its pause. A target
   * that leaves still answers what was placed before: that shows nothing.
   *
   * @param work The work that it answered or began to answer.
   */
  reached({ targetId, holderId, placedAtMs }: TargetWork): void {
    if (this.#byDomain.size === 0) {
      return;
    }
    const { failureDomain = "" } = this.#members.get(holderId) ?? {};
    const target = this.#byDomain.get(failureDomain)?.byId.get(targetId);
    if (target !== undefined && placedAtMs >= target.returnedAtMs) {
      this.#forgetIn(failureDomain, targetId);
    }
  }

  /**
   * Discards what is known about a target whose process restarted.
   *
   * @param targetId Id of the target.
   */
  restarted(targetId: string): void {
    for (const failureDomain of [...this.#byDomain.keys()]) {
      this.#forgetIn(failureDomain, targetId);
    }
  }

  /**
   * Records that a request was placed. If it is the first one after a pause of
   * its target, others are held back until its outcome is known, or for the
   * length of the pause again, as the outcome may be lost.
   *
   * @param targetId Id of the target.
   * @param failureDomain Failure domain of the request's holder.
   * @param nowMs Current local time in milliseconds.
   */
  placed(targetId: string, failureDomain: string, nowMs: number): void {
    if (this.#byDomain.size === 0) {
      return;
    }
    const domain = this.#byDomain.get(failureDomain);
    const target = domain?.byId.get(targetId);
    const isProbe = target !== undefined && target.pauseMs > 0 &&
      nowMs >= target.untilMs;
    if (isProbe) {
      target.isProbed = true;
      target.untilMs = nowMs + target.pauseMs;
      domain!.validUntilMs = -Infinity;
    }
  }

  /**
   * Finds the targets that are to get no requests of a failure domain.
   *
   * @param failureDomain Failure domain of the request's holder.
   * @param nowMs Current local time in milliseconds.
   * @returns Ids of the targets, of all pools; undefined if there are none.
   */
  pausedFor(
    failureDomain: string,
    nowMs: number,
  ): ReadonlySet<string> | undefined {
    const domain = this.#byDomain.get(failureDomain);
    if (domain === undefined || this.#members.isFullMesh) {
      return undefined;
    }
    if (nowMs >= domain.validUntilMs) {
      const paused = [...domain.byId]
        .filter(([, { untilMs }]) => nowMs < untilMs);
      domain.pausedIds = new Set(paused.map(([targetId]) => targetId));
      domain.validUntilMs = Math.min(
        Infinity,
        ...paused.map(([, { untilMs }]) => untilMs),
      );
    }
    return domain.pausedIds.size > 0 ? domain.pausedIds : undefined;
  }

  /**
   * Finds the targets that are to get no requests at all.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Ids of the targets, of all pools.
   */
  pausedForAll(nowMs: number): readonly string[] {
    if (this.#byDomain.size < Math.max(1, this.#domains.size)) {
      return NONE;
    }
    const [first, ...others] = [...this.#domains]
      .map((domain) => this.pausedFor(domain, nowMs));
    return [...first ?? NONE]
      .filter((id) => others.every((paused) => paused?.has(id)));
  }

  /** @returns All paused targets, including those that a request probes now. */
  paused(): PausedTarget[] {
    return [...this.#byDomain].flatMap(([failureDomain, { byId }]) =>
      [...byId]
        .filter(([, { pauseMs }]) => pauseMs > 0)
        .map(([targetId, { failedAtMs, pauseMs }]) => ({
          targetId,
          failureDomain,
          holderCount: failedAtMs.size,
          pauseMs,
        }))
    );
  }

  /**
   * Discards failures that no longer count, and targets that left.
   *
   * @param targets Directory of targets.
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(targets: TargetDirectory, nowMs: number): void {
    this.#asking.evictExpired(nowMs);
    for (const [failureDomain, { byId }] of [...this.#byDomain]) {
      for (const [targetId, target] of [...byId]) {
        const known = targets.get(targetId);
        const isExpired = target.pauseMs === 0
          ? failedHolderCount(target, nowMs) === 0
          : nowMs - target.untilMs > LAPSED_RETENTION_MS;
        const hasLeft = known === undefined || !targets.isUsable(known, nowMs);
        if (isExpired || hasLeft) {
          this.#forgetIn(failureDomain, targetId);
        }
      }
    }
  }

  #domainsOfMembers(): Set<string> {
    const { selfId } = this.#members;
    const members = [this.#members.get(selfId)!, ...this.#members.others()];
    return new Set(members.map(({ failureDomain }) => failureDomain));
  }

  #domain(failureDomain: string): DomainTargets {
    let domain = this.#byDomain.get(failureDomain);
    if (domain === undefined) {
      domain = {
        byId: new Map(),
        pausedIds: new Set(),
        validUntilMs: -Infinity,
      };
      this.#byDomain.set(failureDomain, domain);
    }
    return domain;
  }

  #forgetIn(failureDomain: string, targetId: string): void {
    const domain = this.#byDomain.get(failureDomain);
    if (domain?.byId.delete(targetId)) {
      domain.validUntilMs = -Infinity;
      if (domain.byId.size === 0) {
        this.#byDomain.delete(failureDomain);
      }
    }
  }
}

function newTarget(): UnusableTarget {
  return {
    failedAtMs: new Map(),
    returnedAtMs: -Infinity,
    pauseMs: 0,
    untilMs: -Infinity,
    isProbed: false,
  };
}

function failedHolderCount(
  { failedAtMs }: UnusableTarget,
  nowMs: number,
): number {
  return [...failedAtMs.values()]
    .filter((atMs) => nowMs - atMs <= FAILURE_WINDOW_MS).length;
}
