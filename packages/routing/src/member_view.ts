/**
 * Membership of the fleet as seen by one instance: which entry instances are
 * alive, by the heartbeats received from them, and which one coordinates.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { FleetRoster } from "./fleet_roster.ts";
import { type FleetMembers, FleetShares } from "./fleet_shares.ts";
import type { MemberInfo, MemberRecord } from "./member_record.ts";
import { MemberProcesses } from "./member_processes.ts";
import { MEMBER_TIMEOUT_MS } from "./member_timeout.ts";

/** Largest number of other members with which heartbeats go to all of them. */
const MAX_FULL_MESH_PEERS = 12;

/**
 * Number of members that each heartbeat is sent to in a larger fleet, besides
 * the coordinator. It is fixed, so that the cost of a heartbeat does not grow
 * with the fleet.
 */
export const HEARTBEAT_FANOUT = 5;

/**
 * In a large fleet, a member counts as failed after this time for each
 * heartbeat of a round over the whole fleet. It makes two and a half rounds,
 * which tolerates the loss of one datagram.
 */
const ROUND_TIMEOUT_MS = 550;

/**
 * Time without a heartbeat from any instance of a failure domain after which it
 * may be unreachable: two heartbeat intervals and the time to detect that the
 * third heartbeat is late.
 */
const DOMAIN_TIMEOUT_MS = 480;

/**
 * The timeout of a failure domain in a large fleet: five heartbeat intervals,
 * as each instance receives only few of the heartbeats there.
 */
const LARGE_FLEET_DOMAIN_TIMEOUT_MS = 1100;

/**
 * Time since a member's last heartbeat after which the next one is overdue: one
 * heartbeat interval and the network delay. If the coordinator does not answer,
 * members whose heartbeat is not overdue are asked for a placement first.
 */
const HEARTBEAT_OVERDUE_MS = 330;

/** Time without a heartbeat after which a member is removed from the view. */
const MEMBER_RETENTION_MS = 20_000;

/**
 * Members whose starts differ by no more than this count as started together.
 * It exceeds the time in which a whole fleet starts, plus the usual difference
 * of the instances' clocks.
 */
const START_TOLERANCE_MS = 2000;

/**
 * Cores that a coordinator has at least, relative to the member with the most.
 * Coordinating a fleet of 90 instances takes about a fifth of a core, more than
 * a small instance has to spare.
 */
const MIN_COORDINATOR_CORES_RATIO = 0.5;

/**
 * Reports of members that passed this instance over as coordinator are counted
 * together within this time. Members that ask rarely notice later than others
 * that it does not answer.
 */
const PASSED_OVER_WINDOW_MS = 1200;

/**
 * Least share of the other members that have to pass an instance over for it to
 * stand aside as coordinator.
 */
const MIN_PASSED_OVER_SHARE = 0.5;

/**
 * Time for which a coordinator that is passed over stands aside. A slow
 * instance usually stays slow for seconds, and replacing it costs the fleet
 * nothing, as another one with enough cores takes over.
 */
const STAND_ASIDE_MS = 10_000;

/** The members of the fleet as seen by this instance, which is one of them. */
export class MemberView implements FleetMembers {
  readonly selfId: string;
  readonly selfIncarnation: number;
  /** Increases when a member joins, leaves or changes its description. */
  revision = 0;
  /**
   * Whether this instance is slow because of its load. It then never stands
   * aside: another coordinator would be no faster, and has less state.
   */
  isLoaded = false;
  readonly #byId = new Map<string, MemberRecord>();
  /** Since when heartbeats of a silent coordinator candidate are awaited. */
  readonly #awaitedSinceMs = new Map<string, number>();
  /** The coordinator in the view of each member. */
  readonly #coordinatorIds = new Map<string, string>();
  readonly #roster = new FleetRoster();
  /** Processes of the other members. */
  readonly processes = new MemberProcesses();
  /** Shares of the fleet that its parts are. */
  readonly shares = new FleetShares(this, this.#roster);
  readonly #idByAddress = new Map<string, string>();
  /** When each member reported that this instance did not answer it. */
  readonly #passedOverAtMs = new Map<string, number>();
  #standsAsideUntilMs = -Infinity;
  /** Rendezvous hashing scores, cached as hashing on every call is costly. */
  readonly #scores = new Map<string, number>();

  /** @param self This instance. */
  constructor(self: MemberInfo) {
    this.selfId = self.instanceId;
    this.selfIncarnation = self.incarnation;
    this.#byId.set(self.instanceId, { ...self, lastHeartbeatAtMs: Infinity });
  }

  /** Whether every member sends its heartbeats to all others. */
  get isFullMesh(): boolean {
    return this.#byId.size - 1 <= MAX_FULL_MESH_PEERS;
  }

  /** This instance is leaving: it coordinates only if all others leave too. */
  leave(): void {
    const self = this.#byId.get(this.selfId)!;
    this.#put({ ...self, leaving: true });
  }

  /**
   * Records a heartbeat of a member.
   *
   * @param info Description of the member in its heartbeat.
   * @param nowMs The local time.
   * @returns Whether the member counted as failed, or was unknown, before.
   */
  heartbeatReceived(info: MemberInfo, nowMs: number): boolean {
    const known = this.#byId.get(info.instanceId);
    // A lower incarnation means a delayed heartbeat of an earlier process, or a
    // process that started after the system clock was set back. It is accepted
    // once the process with the higher incarnation has timed out.
    const isStale = known !== undefined &&
      known.incarnation > info.incarnation && this.#isAlive(known, nowMs);
    if (info.instanceId === this.selfId || isStale) {
      return false;
    }
    this.processes.heartbeatReceived(info, { last: known, nowMs });
    this.#put({ ...info, lastHeartbeatAtMs: nowMs });
    this.#roster.record(info, nowMs);
    return known === undefined || !this.#isAlive(known, nowMs);
  }

  /**
   * Records a member that was reported by another member or by the platform. It
   * is not alive, and can't coordinate, before its own first heartbeat.
   *
   * @param info Description of the member.
   * @param of The local time, and the age of what is reported, both in
   * milliseconds.
   */
  memberReported(
    info: MemberInfo,
    { nowMs, ageMs }: { nowMs: number; ageMs: number },
  ): void {
    this.#roster.record(info, nowMs - ageMs);
    const known = this.#byId.get(info.instanceId);
    const isNewer = known === undefined || known.incarnation < info.incarnation;
    if (isNewer && !info.leaving) {
      const lastHeartbeatAtMs = known?.lastHeartbeatAtMs ?? -Infinity;
      this.#put({ ...info, lastHeartbeatAtMs });
    }
  }

  /**
   * Records a member that is silent in the view of another member.
   *
   * @param info Description of the member.
   * @param of The local time, and the time since its last heartbeat, both in
   * milliseconds.
   */
  silenceReported(
    info: MemberInfo,
    of: { nowMs: number; ageMs: number },
  ): void {
    this.memberReported(info, of);
    this.processes.silenceReported(info, of.nowMs - of.ageMs);
  }

  /**
   * Lists members that may be running although they are silent.
   *
   * @param nowMs The local time.
   * @returns Each with the age of what is known of it, in milliseconds.
   */
  absent(nowMs: number): { info: MemberInfo; ageMs: number }[] {
    return this.#roster.absent(this.aliveIds(nowMs), nowMs)
      .map(({ info, knownAtMs }) => ({ info, ageMs: nowMs - knownAtMs }));
  }

  /**
   * @param instanceId Id of a member.
   * @returns The member; undefined if it is unknown.
   */
  get(instanceId: string): MemberRecord | undefined {
    return this.#byId.get(instanceId);
  }

  /**
   * @param instanceId Id of a member.
   * @param nowMs The local time.
   * @returns The member; undefined unless it is alive and not leaving.
   */
  available(instanceId: string, nowMs: number): MemberRecord | undefined {
    const member = this.#byId.get(instanceId);
    const isAvailable = member !== undefined && !member.leaving &&
      this.#isAlive(member, nowMs);
    return isAvailable ? member : undefined;
  }

  /**
   * @param address `ip:port` of a peer socket.
   * @returns Id of the member that last had this address, if there is one.
   */
  idAt(address: string): string | undefined {
    return this.#idByAddress.get(address);
  }

  #put(member: MemberRecord): void {
    if (!hasSameInfo(this.#byId.get(member.instanceId), member)) {
      this.revision++;
    }
    this.#byId.set(member.instanceId, member);
    this.#idByAddress.set(member.address, member.instanceId);
  }

  /**
   * @param failureDomain A failure domain.
   * @param nowMs The local time.
   * @returns Whether no instance of the domain sent a heartbeat within the
   * timeout, though some did before.
   */
  isSilentDomain(failureDomain: string, nowMs: number): boolean {
    const limitMs = this.isFullMesh
      ? DOMAIN_TIMEOUT_MS
      : LARGE_FLEET_DOMAIN_TIMEOUT_MS;
    const known = [...this.#byId.values()].filter((member) =>
      member.failureDomain === failureDomain && !member.leaving &&
      member.lastHeartbeatAtMs > -Infinity
    );
    return known.length > 0 &&
      known.every(({ lastHeartbeatAtMs }) =>
        nowMs - lastHeartbeatAtMs > limitMs
      );
  }

  /**
   * @param nowMs The local time.
   * @returns Members whose next heartbeat is late; none in a large fleet, where
   * each instance only receives a heartbeat of a member once a round.
   */
  overdue(nowMs: number): MemberRecord[] {
    return !this.isFullMesh ? [] : [...this.#byId.values()]
      .filter(({ lastHeartbeatAtMs }) =>
        nowMs - lastHeartbeatAtMs > HEARTBEAT_OVERDUE_MS
      );
  }

  /** @returns All members but this instance, alive or not. */
  others(): MemberRecord[] {
    const others: MemberRecord[] = [];
    for (const member of this.#byId.values()) {
      if (member.instanceId !== this.selfId) {
        others.push(member);
      }
    }
    return others;
  }

  /**
   * @param nowMs The local time.
   * @returns Members that are alive, this instance included.
   */
  alive(nowMs: number): MemberRecord[] {
    const timeoutMs = this.#timeoutMs;
    const alive: MemberRecord[] = [];
    for (const member of this.#byId.values()) {
      if (nowMs - member.lastHeartbeatAtMs < timeoutMs) {
        alive.push(member);
      }
    }
    return alive;
  }

  /** @returns All members, alive or not, this instance included. */
  all(): MemberRecord[] {
    return [...this.#byId.values()];
  }

  /**
   * @param nowMs The local time.
   * @returns Ids of the members that are alive, this instance included.
   */
  aliveIds(nowMs: number): ReadonlySet<string> {
    return new Set(this.alive(nowMs).map(({ instanceId }) => instanceId));
  }

  /**
   * @param nowMs The local time.
   * @returns Number of members that are alive, this instance included.
   */
  aliveCount(nowMs: number): number {
    const timeoutMs = this.#timeoutMs;
    let count = 0;
    for (const { lastHeartbeatAtMs } of this.#byId.values()) {
      count += Number(nowMs - lastHeartbeatAtMs < timeoutMs);
    }
    return count;
  }

  /**
   * Records which coordinator a member asks.
   *
   * @param instanceId Id of the member.
   * @param coordinatorId Instance id of the coordinator in its view; undefined
   * for a member of an earlier version, which does not tell.
   */
  coordinatorReported(
    instanceId: string,
    coordinatorId: string | undefined,
  ): void {
    if (coordinatorId === undefined) {
      this.#coordinatorIds.delete(instanceId);
    } else {
      this.#coordinatorIds.set(instanceId, coordinatorId);
    }
  }

  /**
   * Checks whether a member asks another instance that takes itself for the
   * coordinator, and that hands out this member's part of the fleet's limits.
   *
   * @param instanceId Id of the member.
   * @param nowMs The local time.
   * @returns False for a member whose coordinator has failed.
   */
  followsOther(instanceId: string, nowMs: number): boolean {
    const followedId = this.#coordinatorIds.get(instanceId);
    return followedId !== undefined && followedId !== this.selfId &&
      this.#coordinatorIds.get(followedId) === followedId &&
      this.available(followedId, nowMs) !== undefined;
  }

  /**
   * Records that a member asked this instance for placements and got no answer
   * in time. If enough members did, this instance stands aside: all members
   * replace it at the same time, so that the next coordinator can hand out the
   * whole of the allotments.
   *
   * @param byId Id of the member.
   * @param nowMs The local time.
   */
  passedOverBy(byId: string, nowMs: number): void {
    this.#passedOverAtMs.set(byId, nowMs);
    const others = this.alive(nowMs)
      .filter(({ instanceId }) => instanceId !== this.selfId);
    const reporting = others.filter(({ instanceId }) =>
      nowMs - (this.#passedOverAtMs.get(instanceId) ?? -Infinity) <
        PASSED_OVER_WINDOW_MS
    );
    if (
      !this.isLoaded && reporting.length > 0 &&
      reporting.length >= MIN_PASSED_OVER_SHARE * others.length
    ) {
      this.#standsAsideUntilMs = nowMs + STAND_ASIDE_MS;
      this.revision++;
    }
  }

  /**
   * @param nowMs The local time.
   * @returns Whether this instance is too slow to coordinate.
   */
  standsAside(nowMs: number): boolean {
    return nowMs < this.#standsAsideUntilMs;
  }

  /**
   * Chooses the coordinator by rendezvous hashing among the members that
   * started first and have enough cores. All criteria are values that members
   * announce, so that every instance that knows the same members chooses the
   * same one. An instance that has just started replaces no other.
   *
   * @param nowMs The local time.
   * @param unresponsive Ids of members that did not answer recently.
   * @returns A member; this instance if there is no other candidate.
   */
  coordinator(nowMs: number, unresponsive: ReadonlySet<string>): MemberRecord {
    const preferred = this.#preferredCandidates(nowMs);
    const responsive = unresponsive.size === 0
      ? preferred
      : preferred.filter((m) => !unresponsive.has(m.instanceId));
    let eligible = withEnoughCores(startedFirst(responsive));
    for (;;) {
      const best = maxBy(eligible, (m) => this.#score(m.instanceId));
      if (best === undefined || this.#mayCoordinate(best, nowMs)) {
        return best ?? this.#byId.get(this.selfId)!;
      }
      eligible = eligible.filter((member) => member !== best);
    }
  }

  /**
   * Live members that neither leave nor stand aside; if there are none, those
   * that do not leave, or else all that are alive.
   */
  #preferredCandidates(nowMs: number): MemberRecord[] {
    const timeoutMs = this.#timeoutMs;
    const notSlow: MemberRecord[] = [];
    let isAnyStaying = false;
    for (const member of this.#byId.values()) {
      if (nowMs - member.lastHeartbeatAtMs < timeoutMs && !member.leaving) {
        isAnyStaying = true;
        if (!this.#isStandingAside(member, nowMs)) {
          notSlow.push(member);
        }
      }
    }
    if (notSlow.length > 0) {
      return notSlow;
    }
    const alive = this.alive(nowMs);
    return isAnyStaying ? alive.filter(({ leaving }) => !leaving) : alive;
  }

  #isStandingAside(
    { instanceId, standsAside }: MemberRecord,
    nowMs: number,
  ): boolean {
    return instanceId === this.selfId
      ? this.standsAside(nowMs)
      : standsAside === true;
  }

  #score(instanceId: string): number {
    let score = this.#scores.get(instanceId);
    if (score === undefined) {
      score = hash32(`coordinator ${instanceId}`);
      this.#scores.set(instanceId, score);
    }
    return score;
  }

  /**
   * Whether a candidate sends heartbeats to this instance, as a coordinator
   * does to every instance of a fleet of any size. A candidate that is silent
   * still counts for the timeout of a member, until it has noticed that it
   * coordinates.
   */
  #mayCoordinate(
    { instanceId, lastHeartbeatAtMs }: MemberRecord,
    nowMs: number,
  ): boolean {
    if (nowMs - lastHeartbeatAtMs < MEMBER_TIMEOUT_MS) {
      this.#awaitedSinceMs.delete(instanceId);
      return true;
    }
    const sinceMs = this.#awaitedSinceMs.get(instanceId) ?? nowMs;
    this.#awaitedSinceMs.set(instanceId, sinceMs);
    return nowMs - sinceMs < MEMBER_TIMEOUT_MS;
  }

  /**
   * Time without a heartbeat after which a member is not alive. In a large
   * fleet, a member sends one heartbeat in a round to each other.
   */
  get #timeoutMs(): number {
    const others = this.#byId.size - 1;
    const roundMs = this.isFullMesh
      ? 0
      : Math.ceil(others / HEARTBEAT_FANOUT) * ROUND_TIMEOUT_MS;
    return Math.max(MEMBER_TIMEOUT_MS, roundMs);
  }

  #isAlive(member: MemberRecord, nowMs: number): boolean {
    return nowMs - member.lastHeartbeatAtMs < this.#timeoutMs;
  }

  /**
   * Removes members that have been silent for longer than the retention time.
   *
   * @param nowMs The local time.
   */
  evictExpired(nowMs: number): void {
    this.#roster.evictExpired(nowMs)
      .forEach((instanceId) => this.processes.evict(instanceId));
    for (const { instanceId, lastHeartbeatAtMs, address } of this.all()) {
      if (
        instanceId !== this.selfId && lastHeartbeatAtMs > -Infinity &&
        nowMs - lastHeartbeatAtMs > MEMBER_RETENTION_MS
      ) {
        this.revision++;
        this.#byId.delete(instanceId);
        this.#awaitedSinceMs.delete(instanceId);
        this.#passedOverAtMs.delete(instanceId);
        this.#coordinatorIds.delete(instanceId);
        this.#scores.delete(instanceId);
        if (this.#idByAddress.get(address) === instanceId) {
          this.#idByAddress.delete(address);
        }
      }
    }
  }
}

function hasSameInfo(
  known: MemberRecord | undefined,
  member: MemberRecord,
): boolean {
  return known !== undefined && known.incarnation === member.incarnation &&
    known.address === member.address && known.leaving === member.leaving &&
    known.standsAside === member.standsAside && known.cores === member.cores;
}

/**
 * Members that started together with the first one. Compares incarnations,
 * which are the same in every view. Uptimes as each instance estimates them
 * differ by the delay of heartbeats, and two instances whose starts are about
 * the tolerance apart would choose different coordinators for good.
 */
function startedFirst(members: readonly MemberRecord[]): MemberRecord[] {
  const firstMs = members
    .reduce((a, { incarnation }) => Math.min(a, incarnation), Infinity);
  return members.filter(({ incarnation }) =>
    incarnation <= firstMs + START_TOLERANCE_MS
  );
}

function withEnoughCores(members: readonly MemberRecord[]): MemberRecord[] {
  const mostCores = members.reduce((a, { cores }) => Math.max(a, cores), 0);
  return members.filter(({ cores }) =>
    cores >= mostCores * MIN_COORDINATOR_CORES_RATIO
  );
}

function maxBy<T>(
  items: Iterable<T>,
  scoreOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const score = scoreOf(item);
    if (score > bestScore) {
      best = item;
      bestScore = score;
    }
  }
  return best;
}
