/**
 * Membership of the fleet as seen by one instance: which entry instances are
 * alive, by the heartbeats received from them, and which one coordinates.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";

/** Record of one entry instance of the fleet, kept by this instance. */
export interface MemberRecord {
  readonly instanceId: string;
  /** `ip:port` of its peer socket. */
  readonly address: string;
  readonly failureDomain: string;
  /**
   * Start of the instance's process by its clock, in milliseconds since the
   * epoch; increases with every start unless the clock was set back.
   */
  readonly incarnation: number;
  /** Whether it has announced that it is shutting down. */
  readonly leaving: boolean;
  /** Processor cores that it may use, possibly a fraction. */
  readonly cores: number;
  /** Whether it has announced that it is too slow to coordinate. */
  readonly standsAside?: boolean;
  /** Local time of its last heartbeat; -Infinity before the first one. */
  readonly lastHeartbeatAtMs: number;
}

/**
 * Time without a heartbeat after which a member counts as failed, in
 * milliseconds: four heartbeat intervals, so that a live member is only
 * declared failed if three heartbeats in a row are lost.
 */
export const MEMBER_TIMEOUT_MS = 900;

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

const NO_DOMAINS: ReadonlySet<string> = new Set();

/** Time without a heartbeat after which a member is removed from the view. */
const MEMBER_RETENTION_MS = 20_000;

/**
 * Time within which the first heartbeat of a member that others reported should
 * arrive. Until then the member counts towards the fleet's size, so that an
 * instance that has just started does not count as the whole fleet.
 */
const MEMBER_JOIN_GRACE_MS = 2000;

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

/**
 * Description of a member, as it is sent in its own heartbeats, in those of
 * other members, or listed by the platform.
 */
export type MemberInfo = Omit<MemberRecord, "lastHeartbeatAtMs">;

/** The members of the fleet as seen by this instance, which is one of them. */
export class MemberView {
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
  /** When others last reported something new of each member. */
  readonly #reportedAtMs = new Map<string, number>();
  /** When the first heartbeat of each member's process was received. */
  readonly #heardSinceMs = new Map<string, number>();
  /** When a member's process sent a heartbeat again after its timeout. */
  readonly #recoveredAtMs = new Map<string, number>();
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
    if (
      known?.incarnation === info.incarnation &&
      nowMs - known.lastHeartbeatAtMs >= MEMBER_TIMEOUT_MS
    ) {
      this.#recoveredAtMs.set(info.instanceId, nowMs);
    }
    if (known?.incarnation !== info.incarnation) {
      this.#heardSinceMs.set(info.instanceId, nowMs);
    }
    this.#put({ ...info, lastHeartbeatAtMs: nowMs });
    return known === undefined || !this.#isAlive(known, nowMs);
  }

  /**
   * Records a member that was reported by another member or by the platform. It
   * is not alive, and can't coordinate, before its own first heartbeat.
   *
   * @param info Description of the member.
   * @param nowMs The local time.
   */
  memberReported(info: MemberInfo, nowMs: number): void {
    const known = this.#byId.get(info.instanceId);
    if (known === undefined || known.incarnation < info.incarnation) {
      const lastHeartbeatAtMs = known?.lastHeartbeatAtMs ?? -Infinity;
      this.#put({ ...info, lastHeartbeatAtMs });
      this.#reportedAtMs.set(info.instanceId, nowMs);
    }
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
   * Returns the share of the fleet that is reachable from this instance. The
   * allotments of the whole fleet are scaled by it.
   *
   * @param nowMs The local time.
   * @returns Above 0, at most 1.
   */
  reachableShare(nowMs: number): number {
    const cutOff = this.#overdueDomains(nowMs);
    const reachableCount = cutOff.size === 0
      ? this.aliveCount(nowMs)
      : this.alive(nowMs)
        .filter(({ failureDomain }) => !cutOff.has(failureDomain)).length;
    return reachableCount / this.#fleetSize(nowMs);
  }

  /**
   * Failure domains all of whose instances have an overdue heartbeat. Instances
   * of a partitioned domain hand out their own part of the allotments even
   * before any of them counts as failed here.
   */
  #overdueDomains(nowMs: number): ReadonlySet<string> {
    const overdue = this.overdue(nowMs);
    if (overdue.length === 0) {
      return NO_DOMAINS;
    }
    const punctual = new Set(
      this.alive(nowMs).filter((member) => !overdue.includes(member))
        .map(({ failureDomain }) => failureDomain),
    );
    const silent = overdue.map(({ failureDomain }) => failureDomain)
      .filter((failureDomain) => !punctual.has(failureDomain));
    return new Set(silent);
  }

  /**
   * Returns the share of the fleet that is reachable from a coordinator, which
   * must have coordinated for the timeout of a member. Every member sends
   * all heartbeats to the coordinator, also in a large fleet, so that the
   * timeout of rounds does not apply. With that timeout, both sides of a
   * network partition would hand out the whole of the allotments for seconds. A
   * member that was silent counts once it has reported what was spent through
   * it meanwhile.
   *
   * @param nowMs The local time.
   * @param reportedAtMs Returns when a member last reported spending.
   * @returns Above 0, at most 1.
   */
  directlyReachableShare(
    nowMs: number,
    reportedAtMs: (instanceId: string) => number,
  ): number {
    const cutOff = this.#overdueDomains(nowMs);
    let directCount = 0;
    for (const member of this.#byId.values()) {
      const isDirect = nowMs - member.lastHeartbeatAtMs < MEMBER_TIMEOUT_MS &&
        !cutOff.has(member.failureDomain) &&
        reportedAtMs(member.instanceId) >=
          this.#recoveredAtMsOf(member.instanceId);
      directCount += Number(isDirect);
    }
    return directCount / this.#fleetSize(nowMs);
  }

  /**
   * Returns the share of the fleet that some of its members are.
   *
   * @param nowMs The local time.
   * @param isCounted Whether a member counts.
   * @returns From 0 to 1.
   */
  shareOf(
    nowMs: number,
    isCounted: (instanceId: string) => boolean,
  ): number {
    const count = [...this.#byId.keys()].filter(isCounted).length;
    return Math.min(1, count / this.#fleetSize(nowMs));
  }

  /**
   * Returns the share of the fleet whose processes have lived since a time.
   *
   * @param sinceMs Local time in milliseconds.
   * @param nowMs The local time.
   * @returns From 0 to 1; this instance counts.
   */
  shareAliveSince(sinceMs: number, nowMs: number): number {
    const living = this.alive(nowMs).filter(({ instanceId }) =>
      instanceId === this.selfId ||
      (this.#heardSinceMs.get(instanceId) ?? Infinity) <= sinceMs
    );
    return living.length / this.#fleetSize(nowMs);
  }

  /** When a member's process sent a heartbeat again; -Infinity if none did. */
  #recoveredAtMsOf(instanceId: string): number {
    return this.#recoveredAtMs.get(instanceId) ?? -Infinity;
  }

  #fleetSize(nowMs: number): number {
    let presentCount = 0;
    for (const { instanceId, lastHeartbeatAtMs } of this.#byId.values()) {
      const isPresent = nowMs - lastHeartbeatAtMs < MEMBER_RETENTION_MS ||
        nowMs - this.#reportedAtMs.get(instanceId)! < MEMBER_JOIN_GRACE_MS;
      presentCount += Number(isPresent);
    }
    return Math.max(1, presentCount);
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
    for (const member of this.#byId.values()) {
      const { instanceId, lastHeartbeatAtMs, address } = member;
      if (
        instanceId !== this.selfId && lastHeartbeatAtMs > -Infinity &&
        nowMs - lastHeartbeatAtMs > MEMBER_RETENTION_MS
      ) {
        this.revision++;
        this.#byId.delete(instanceId);
        this.#awaitedSinceMs.delete(instanceId);
        this.#reportedAtMs.delete(instanceId);
        this.#passedOverAtMs.delete(instanceId);
        this.#recoveredAtMs.delete(instanceId);
        this.#heardSinceMs.delete(instanceId);
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
