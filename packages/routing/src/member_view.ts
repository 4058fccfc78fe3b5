/** Which entry instances are alive, and which of them coordinates. */

import { hash32 } from "@chestnuthatch/core/text_hash";

/** One entry instance as this one knows it. */
export interface MemberRecord {
  readonly instanceId: string;
  /** `ip:port` of its peer socket. */
  readonly address: string;
  readonly failureDomain: string;
  /** Rises with every start of the instance's process. */
  readonly incarnation: number;
  /** Whether it has said that it is shutting down. */
  readonly leaving: boolean;
  /** Processor cores that it may use. */
  readonly cores: number;
  /** Whether it has said that it is too slow to coordinate. */
  readonly standsAside?: boolean;
  /** Local time at which it was last heard; -Infinity before the first time. */
  readonly heardAtMs: number;
}

/**
 * Silence after which a member counts as gone: four heartbeats, so that the
 * loss of three in a row on a bad link is needed to be wrong.
 */
export const MEMBER_SILENCE_MS = 900;

/** Other members up to which every heartbeat goes to all of them. */
const FULL_MESH = 12;

/**
 * Members that a heartbeat goes to in a larger fleet, besides the coordinator,
 * so that its cost does not grow with the fleet.
 */
export const BEAT_FANOUT = 5;

/**
 * Silence for each heartbeat of a round over a large fleet after which a member
 * counts as gone: two and a half rounds, so that one lost datagram is borne.
 */
const ROUND_SILENCE_MS = 550;

/**
 * Silence of all instances of a failure domain after which the way there may be
 * cut: two heartbeats of each and the time to see that a third is late. In a
 * large fleet, five rounds of heartbeats, as few of them come here.
 */
const DOMAIN_SILENCE_MS = 480;
const LARGE_DOMAIN_SILENCE_MS = 1100;

/**
 * A member that was heard within this time is asked for a place before one that
 * was not, where the first choice gives no answer: one heartbeat and its way.
 */
const LATELY_HEARD_MS = 330;

const NO_DOMAINS: ReadonlySet<string> = new Set();

/** Silence after which a member no longer counts towards the fleet's size. */
const FORGET_MEMBER_MS = 20_000;

/**
 * Time within which a member that was told of should be heard. Until then it
 * counts towards the fleet's size, so that an instance that has just started
 * does not take itself for the whole fleet.
 */
const EXPECT_MEMBER_MS = 2000;

/**
 * Members whose run times differ by less count as started together. Above the
 * time within which a fleet starts, and its spread in what heartbeats tell.
 */
const STARTED_TOGETHER_MS = 2000;

/**
 * Part of the cores of the strongest member that a coordinator has at least.
 * One that decides for a fleet of 90 needs about a fifth of a core for it, more
 * than a small instance has to spare.
 */
const STRONG_PART = 0.5;

/**
 * Time within which members that passed this instance over as coordinator count
 * together: those that ask seldom find out later than others.
 */
const PASSED_OVER_MS = 1200;

/** Part of the other members that passed it over, for it to stand aside. */
const PASSED_OVER_PART = 0.5;

/**
 * Time for which a coordinator that is passed over stands aside. An instance
 * that is slow is so for seconds; being replaced costs the fleet nothing, as
 * another that is as strong takes over.
 */
const STAND_ASIDE_MS = 10_000;

/** How a member is told of: by itself, by another, or by the platform's list. */
export type MemberNews = Omit<MemberRecord, "heardAtMs">;

/** The members, this instance included. */
export class MemberView {
  readonly selfId: string;
  /** Rises when a member comes, goes, or says something else of itself. */
  changes = 0;
  /**
   * Whether this instance is late because of how much there is to do: another
   * would be no quicker in its place, and knows less.
   */
  isLoaded = false;
  readonly #byId = new Map<string, MemberRecord>();
  /** Local time since which a member remembers what workspaces spent. */
  readonly #remembersSinceMs = new Map<string, number>();
  /** Since when a coordinator that is not heard should be. */
  readonly #expectedSinceMs = new Map<string, number>();
  readonly #toldAtMs = new Map<string, number>();
  /** When a member of the same incarnation was heard again after silence. */
  readonly #returnedAtMs = new Map<string, number>();
  readonly #idByAddress = new Map<string, string>();
  /** When each member said that this instance does not answer it. */
  readonly #unansweredAtMs = new Map<string, number>();
  #standsAsideUntilMs = -Infinity;
  /** Rendezvous scores, which are costly to hash on every look. */
  readonly #scores = new Map<string, number>();

  /** @param self This instance. */
  constructor(self: MemberNews) {
    this.selfId = self.instanceId;
    this.#byId.set(self.instanceId, { ...self, heardAtMs: Infinity });
  }

  /** Whether the fleet is small enough for all to beat to all. */
  get isFullMesh(): boolean {
    return this.#byId.size - 1 <= FULL_MESH;
  }

  /**
   * Notes that a member spoke.
   *
   * @param news What it said of itself.
   * @param nowMs The local time.
   * @returns Whether it counted as gone, or was unknown, before.
   */
  heard(news: MemberNews, nowMs: number): boolean {
    const known = this.#byId.get(news.instanceId);
    // A lower incarnation is an old word on its way, or a process that started
    // after the time of day was put back: it counts once the other is silent.
    const isOld = known !== undefined &&
      known.incarnation > news.incarnation && this.#isHeard(known, nowMs);
    if (news.instanceId === this.selfId || isOld) {
      return false;
    }
    if (
      known?.incarnation === news.incarnation &&
      nowMs - known.heardAtMs >= MEMBER_SILENCE_MS
    ) {
      this.#returnedAtMs.set(news.instanceId, nowMs);
    }
    this.#put({ ...news, heardAtMs: nowMs });
    return known === undefined || !this.#isHeard(known, nowMs);
  }

  /**
   * Notes a member that was only told of; it gets duties once it is heard.
   *
   * @param news What was told.
   * @param nowMs The local time.
   */
  toldOf(news: MemberNews, nowMs: number): void {
    const known = this.#byId.get(news.instanceId);
    if (known === undefined || known.incarnation < news.incarnation) {
      const heardAtMs = known?.heardAtMs ?? -Infinity;
      this.#put({ ...news, heardAtMs });
      this.#toldAtMs.set(news.instanceId, nowMs);
    }
  }

  /**
   * @param instanceId A member's id.
   * @returns The member.
   */
  get(instanceId: string): MemberRecord | undefined {
    return this.#byId.get(instanceId);
  }

  /**
   * @param address `ip:port` of a peer socket.
   * @returns The member that was last said to be there.
   */
  idAt(address: string): string | undefined {
    return this.#idByAddress.get(address);
  }

  #put(member: MemberRecord): void {
    if (!saysTheSame(this.#byId.get(member.instanceId), member)) {
      this.changes++;
    }
    this.#byId.set(member.instanceId, member);
    this.#idByAddress.set(member.address, member.instanceId);
  }

  /**
   * @param failureDomain A failure domain.
   * @param nowMs The local time.
   * @returns Whether none of its instances was heard lately, though some were
   * before.
   */
  isSilentDomain(failureDomain: string, nowMs: number): boolean {
    const limitMs = this.isFullMesh
      ? DOMAIN_SILENCE_MS
      : LARGE_DOMAIN_SILENCE_MS;
    const heard = [...this.#byId.values()].filter((member) =>
      member.failureDomain === failureDomain && !member.leaving &&
      member.heardAtMs > -Infinity
    );
    return heard.length > 0 &&
      heard.every(({ heardAtMs }) => nowMs - heardAtMs > limitMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Members whose last heartbeat is late; none in a large fleet, where
   * heartbeats come in rounds.
   */
  overdue(nowMs: number): MemberRecord[] {
    return !this.isFullMesh ? [] : [...this.#byId.values()]
      .filter(({ heardAtMs }) => nowMs - heardAtMs > LATELY_HEARD_MS);
  }

  /** @returns All members but this instance, heard or not. */
  others(): MemberRecord[] {
    return [...this.#byId.values()]
      .filter(({ instanceId }) => instanceId !== this.selfId);
  }

  /**
   * @param nowMs The local time.
   * @returns Members that are alive, this instance included.
   */
  alive(nowMs: number): MemberRecord[] {
    return [...this.#byId.values()].filter((m) => this.#isHeard(m, nowMs));
  }

  /**
   * Gives the share of the fleet that this instance hears, by which it scales
   * what the fleet as a whole may spend.
   *
   * @param nowMs The local time.
   * @returns Above 0, at most 1.
   */
  heardShare(nowMs: number): number {
    const alive = this.alive(nowMs);
    const cutOff = this.#cutOffDomains(nowMs);
    const heard = alive.filter(({ failureDomain }) =>
      !cutOff.has(failureDomain)
    );
    return heard.length / this.#presentCount(nowMs);
  }

  /**
   * Failure domains of which no instance sent its last heartbeat. Of one that is
   * cut off, the instances go on to hand out their part of what the fleet may
   * spend, before any of them counts as gone here.
   */
  #cutOffDomains(nowMs: number): ReadonlySet<string> {
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
   * Gives the same for a coordinator that has stood for as long as a member may
   * be silent: every heartbeat of every member goes to it, also in a large
   * fleet. By the rounds there, two parts of a fleet that was cut in two would
   * both hand out the whole for seconds. A member that was silent counts once it
   * has told what was spent through it meanwhile.
   *
   * @param nowMs The local time.
   * @param toldAtMs When a member last told that.
   * @returns Above 0, at most 1.
   */
  directShare(
    nowMs: number,
    toldAtMs: (instanceId: string) => number,
  ): number {
    const cutOff = this.#cutOffDomains(nowMs);
    const direct = [...this.#byId.values()].filter((member) =>
      nowMs - member.heardAtMs < MEMBER_SILENCE_MS &&
      !cutOff.has(member.failureDomain) &&
      toldAtMs(member.instanceId) >= this.#returnedAtMsOf(member.instanceId)
    );
    return direct.length / this.#presentCount(nowMs);
  }

  /** When its process was heard again after it had been silent. */
  #returnedAtMsOf(instanceId: string): number {
    return this.#returnedAtMs.get(instanceId) ?? -Infinity;
  }

  #presentCount(nowMs: number): number {
    const present = [...this.#byId.values()].filter((m) =>
      nowMs - m.heardAtMs < FORGET_MEMBER_MS ||
      nowMs - this.#toldAtMs.get(m.instanceId)! < EXPECT_MEMBER_MS
    );
    return Math.max(1, present.length);
  }

  /**
   * Tells how long the fleet has remembered what workspaces spent: what one
   * instance forgot with its process, others still know.
   *
   * @param ownMs How long this instance has run.
   * @param nowMs The local time.
   * @returns A duration in milliseconds.
   */
  memoryMs(ownMs: number, nowMs: number): number {
    const alive = this.alive(nowMs).map((m) => this.#runMs(m, nowMs));
    return Math.max(ownMs, ...alive);
  }

  /**
   * @param instanceId A member.
   * @param memoryMs How long it has remembered what workspaces spent.
   * @param nowMs The local time.
   */
  remembers(instanceId: string, memoryMs: number, nowMs: number): void {
    this.#remembersSinceMs.set(instanceId, nowMs - memoryMs);
  }

  /**
   * Notes that a member asked this instance for places and got no answer in time.
   * An instance that stands aside is replaced by all at once, and the next one
   * hands out the whole of the allotments.
   *
   * @param byId The member.
   * @param nowMs The local time.
   */
  leftUnanswered(byId: string, nowMs: number): void {
    this.#unansweredAtMs.set(byId, nowMs);
    const others = this.alive(nowMs)
      .filter(({ instanceId }) => instanceId !== this.selfId);
    const saying = others.filter(({ instanceId }) =>
      nowMs - (this.#unansweredAtMs.get(instanceId) ?? -Infinity) <
        PASSED_OVER_MS
    );
    if (
      !this.isLoaded && saying.length > 0 &&
      saying.length >= PASSED_OVER_PART * others.length
    ) {
      this.#standsAsideUntilMs = nowMs + STAND_ASIDE_MS;
      this.changes++;
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
   * Picks the coordinator: among the members that have run longest the one that
   * rendezvous hashing gives. Every instance with the same view picks the same
   * one, and an instance that has just started takes over from nobody.
   *
   * @param nowMs The local time.
   * @param shunned Members that did not answer lately.
   * @returns A member; this instance where no other is alive.
   */
  coordinator(nowMs: number, shunned: ReadonlySet<string>): MemberRecord {
    const alive = this.alive(nowMs);
    const staying = alive.filter((m) => !m.leaving);
    const quick = staying.filter((m) => !this.#isAside(m, nowMs));
    const answering = [quick, staying, alive].find(({ length }) => length > 0)!
      .filter((m) => !shunned.has(m.instanceId));
    const eligible = new Set(strongest(this.#longestRunning(answering, nowMs)));
    for (;;) {
      const best = highest(eligible, (m) => this.#score(m.instanceId));
      if (best === undefined || this.#isFresh(best, nowMs)) {
        return best ?? this.#byId.get(this.selfId)!;
      }
      eligible.delete(best);
    }
  }

  #isAside({ instanceId, standsAside }: MemberRecord, nowMs: number): boolean {
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
   * A coordinator beats to every instance, however large the fleet is. One that
   * has just become it is given the time to notice.
   */
  #isFresh({ instanceId, heardAtMs }: MemberRecord, nowMs: number): boolean {
    if (nowMs - heardAtMs < MEMBER_SILENCE_MS) {
      this.#expectedSinceMs.delete(instanceId);
      return true;
    }
    const sinceMs = this.#expectedSinceMs.get(instanceId) ?? nowMs;
    this.#expectedSinceMs.set(instanceId, sinceMs);
    return nowMs - sinceMs < MEMBER_SILENCE_MS;
  }

  /** In a large fleet, a member is heard once in a round over all of it. */
  #isHeard(member: MemberRecord, nowMs: number): boolean {
    const others = this.#byId.size - 1;
    const roundMs = this.isFullMesh
      ? 0
      : Math.ceil(others / BEAT_FANOUT) * ROUND_SILENCE_MS;
    return nowMs - member.heardAtMs < Math.max(MEMBER_SILENCE_MS, roundMs);
  }

  #longestRunning(
    members: readonly MemberRecord[],
    nowMs: number,
  ): MemberRecord[] {
    const times = members.map((m) => this.#runMs(m, nowMs));
    const longestMs = Math.max(0, ...times);
    return members.filter((_, index) =>
      times[index]! >= longestMs - STARTED_TOGETHER_MS
    );
  }

  #runMs({ instanceId }: MemberRecord, nowMs: number): number {
    return nowMs - (this.#remembersSinceMs.get(instanceId) ?? nowMs);
  }

  /** @param nowMs Members long silent by then are forgotten. */
  forgetOld(nowMs: number): void {
    for (const { instanceId, heardAtMs, address } of this.others()) {
      if (heardAtMs > -Infinity && nowMs - heardAtMs > FORGET_MEMBER_MS) {
        this.changes++;
        this.#byId.delete(instanceId);
        this.#remembersSinceMs.delete(instanceId);
        this.#expectedSinceMs.delete(instanceId);
        this.#toldAtMs.delete(instanceId);
        this.#unansweredAtMs.delete(instanceId);
        this.#returnedAtMs.delete(instanceId);
        this.#scores.delete(instanceId);
        if (this.#idByAddress.get(address) === instanceId) {
          this.#idByAddress.delete(address);
        }
      }
    }
  }
}

function saysTheSame(
  known: MemberRecord | undefined,
  member: MemberRecord,
): boolean {
  return known !== undefined && known.incarnation === member.incarnation &&
    known.address === member.address && known.leaving === member.leaving &&
    known.standsAside === member.standsAside && known.cores === member.cores;
}

function strongest(members: readonly MemberRecord[]): MemberRecord[] {
  const mostCores = Math.max(0, ...members.map(({ cores }) => cores));
  return members.filter(({ cores }) => cores >= mostCores * STRONG_PART);
}

function highest<T>(
  all: Iterable<T>,
  scoreOf: (one: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const one of all) {
    const score = scoreOf(one);
    if (score > bestScore) {
      best = one;
      bestScore = score;
    }
  }
  return best;
}
