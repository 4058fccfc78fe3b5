/**
 * Attribution of crashed targets to what their requests had in common.
 *
 * A crash implicates the keys of all requests that ran on the target: harmless
 * ones, the harmful one, and parts of prompts that both share. The smallest set
 * of keys that explains the crashes is found greedily: the key that most
 * crashes implicate is a cause, and its crashes no longer count against others.
 */

/** How a target's process ended under requests with a key. */
export interface CrashEnd {
  /** Local time at which the process ended, in milliseconds. */
  readonly atMs: number;
  /** Whether a request with the key ran there on trial. */
  readonly inTrial: boolean;
}

/** Crashes since the last answer on a key. */
export interface CrashRecord {
  readonly key: string;
  /** Ends by target process. */
  readonly ended: ReadonlyMap<string, CrashEnd>;
  /** Local time of the last answer on the key; -Infinity if there is none. */
  readonly servedAtMs: number;
}

/** A key that explains crashes. */
export interface CrashCause {
  readonly key: string;
  /**
   * Keys that a request must have to be like those that failed the trials; only
   * such requests are quarantined. The cause's own key is one of them.
   */
  readonly requiredKeys: readonly string[];
  /** Failed trials that no other cause explains. */
  readonly failedTrials: number;
  /** Local time of the last crash, in milliseconds. */
  readonly lastEndedAtMs: number;
  /** Whether targets answered requests with the key before the crashes. */
  readonly wasServed: boolean;
}

/** Crashes in a row that make a key a cause. */
const MIN_ENDED = 2;

/**
 * The same for a key that targets answered before. Popular parts of prompts are
 * implicated by every crash, and only the loss of many targets at once leaves
 * them without an answer in between.
 */
const MIN_ENDED_IF_SERVED = 5;

/** Share of a cause's crashes that implicate the keys that go with it. */
const MIN_REQUIRED_KEY_SHARE = 0.5;

/**
 * Finds the keys that explain crashes.
 *
 * @param records Crashes by key.
 * @returns The causes by key; those that are equally likely are all included.
 */
export function findCrashCauses(
  records: readonly CrashRecord[],
): Map<string, CrashCause> {
  const causes = new Map<string, CrashCause>();
  const explained = new Set<string>();
  for (const group of groupsByLikelihood(records)) {
    const found = group
      .map((record) => ({
        record,
        unexplained: unexplainedOf(record, explained),
      }))
      .filter(({ record, unexplained }) =>
        unexplained.length >= minEnded(record)
      );
    for (const { record, unexplained } of found) {
      causes.set(record.key, causeOf(record, { unexplained, records }));
      [...record.ended.keys()].forEach((process) => explained.add(process));
    }
  }
  return causes;
}

/** Groups equally likely causes, the likeliest first. */
function groupsByLikelihood(records: readonly CrashRecord[]): CrashRecord[][] {
  const groups: CrashRecord[][] = [];
  const candidates = records
    .filter((record) => record.ended.size >= minEnded(record))
    .sort(byLikelihood);
  for (const record of candidates) {
    const group = groups.at(-1);
    if (group !== undefined && byLikelihood(group[0]!, record) === 0) {
      group.push(record);
    } else {
      groups.push([record]);
    }
  }
  return groups;
}

function byLikelihood(a: CrashRecord, b: CrashRecord): number {
  return Number(wasServed(a)) - Number(wasServed(b)) ||
    b.ended.size - a.ended.size;
}

function unexplainedOf(
  { ended }: CrashRecord,
  explained: ReadonlySet<string>,
): string[] {
  return [...ended.keys()].filter((process) => !explained.has(process));
}

function causeOf(
  record: CrashRecord,
  { unexplained, records }: {
    unexplained: readonly string[];
    records: readonly CrashRecord[];
  },
): CrashCause {
  const { key, ended } = record;
  const trials = unexplained.filter((process) => ended.get(process)!.inTrial);
  const minShared = MIN_REQUIRED_KEY_SHARE * ended.size;
  const required = records.filter((other) =>
    other.ended.size >= minShared &&
    trials.every((process) => other.ended.has(process)) &&
    sharedCount(other, record) >= minShared
  );
  return {
    key,
    requiredKeys: required.map((other) => other.key),
    failedTrials: trials.length,
    lastEndedAtMs: Math.max(...[...ended.values()].map(({ atMs }) => atMs)),
    wasServed: wasServed(record),
  };
}

function sharedCount(a: CrashRecord, b: CrashRecord): number {
  return [...a.ended.keys()].filter((process) => b.ended.has(process)).length;
}

function minEnded(record: CrashRecord): number {
  return wasServed(record) ? MIN_ENDED_IF_SERVED : MIN_ENDED;
}

function wasServed({ servedAtMs }: CrashRecord): boolean {
  return servedAtMs > -Infinity;
}
