/** Counts requests and their outcomes by tier and kind of request. */

import { build, type Histogram } from "hdr-histogram-js";
import type { WorkItem } from "@chestnuthatch/standins/workload";
import type { SentOutcome } from "./send_request.ts";
import { alignColumns, sectionLines } from "./text_table.ts";

/** Checks that a {@link LoadTally} performs on answers. */
export interface LoadTallyOptions {
  /** Whether answers quote the end of their prompt, as stand-ins do. */
  readonly answersQuotePrompt: boolean;
}

/** Number of refusals with one tier, error kind and run state. */
export interface RefusedCount {
  readonly tier: string;
  readonly error: string;
  readonly ran: string;
  readonly count: number;
}

/** Counts and times of the requests of one tier and kind. */
interface TallyRow {
  readonly tier: string;
  readonly kind: string;
  sent: number;
  answered: number;
  readonly refused: Map<string, number>;
  broken: number;
  readonly waitHistogram: Histogram;
  readonly totalHistogram: Histogram;
}

const MAX_RECORDED_MS = 3_600_000;
const PERCENTILES = [50, 95, 99] as const;
const MAX_FAULTS_SHOWN = 20;
/** Stand-ins quote at least this many characters of the end of a prompt. */
const QUOTED_PROMPT_CHARS = 40;

/** Counts, times and faults of one run of generated load. */
export class LoadTally {
  readonly #options: LoadTallyOptions;
  readonly #rows = new Map<string, TallyRow>();
  readonly #answersByTarget = new Map<string, number>();
  readonly #faults: string[] = [];
  #notSentCount = 0;

  /** @param options Checks to perform on answers. */
  constructor(options: LoadTallyOptions) {
    this.#options = options;
  }

  /**
   * Counts a request as sent.
   *
   * @param item The request.
   */
  recordSent(item: WorkItem): void {
    this.#rowFor(item).sent += 1;
  }

  /** Counts a request that was not sent, since too many were in flight. */
  recordNotSent(): void {
    this.#notSentCount += 1;
  }

  /**
   * Counts an outcome and checks the text of an answer.
   *
   * @param item The request.
   * @param outcome Outcome that the caller received.
   */
  recordOutcome(item: WorkItem, outcome: SentOutcome): void {
    const row = this.#rowFor(item);
    if ("answer" in outcome) {
      const { targetId, waitedMs, totalMs, text } = outcome.answer;
      row.answered += 1;
      recordMs(row.waitHistogram, waitedMs);
      recordMs(row.totalHistogram, totalMs);
      this.#answersByTarget.set(
        targetId,
        (this.#answersByTarget.get(targetId) ?? 0) + 1,
      );
      this.#checkText(item, text);
    } else if ("refusal" in outcome) {
      const { error, ran } = outcome.refusal;
      const key = `${error}/${ran}`;
      row.refused.set(key, (row.refused.get(key) ?? 0) + 1);
    } else {
      row.broken += 1;
      this.#faults.push(`${item.kind}: ${outcome.broken}`);
    }
  }

  /**
   * Adds a broken guarantee that another check found.
   *
   * @param fault Line that describes it.
   */
  addFault(fault: string): void {
    this.#faults.push(fault);
  }

  /** Number of broken guarantees. */
  get brokenGuaranteeCount(): number {
    return this.#faults.length;
  }

  /** Refusals, sorted by tier, error kind and run state. */
  get refusals(): RefusedCount[] {
    const counts = new Map<string, RefusedCount>();
    for (const { tier, refused } of this.#rows.values()) {
      for (const [key, count] of refused) {
        const [error, ran] = key.split("/");
        const known = counts.get(`${tier}/${key}`)?.count ?? 0;
        const sum = { tier, error, ran, count: known + count };
        counts.set(`${tier}/${key}`, sum);
      }
    }
    return [...counts].sort().map(([, refusal]) => refusal);
  }

  /** One line with the progress of the run. */
  get progressLine(): string {
    const sum = (of: (row: TallyRow) => number) =>
      [...this.#rows.values()].reduce((total, row) => total + of(row), 0);
    const sent = sum((row) => row.sent);
    const answered = sum((row) => row.answered);
    const refused = sum(countRefused);
    const open = sent - answered - refused - sum((row) => row.broken);
    return `sent ${sent}, answered ${answered}, refused ${refused}, ` +
      `open ${open}`;
  }

  /** The result as text tables. */
  get text(): string {
    return [
      ...alignColumns([TABLE_HEADER, ...this.#sortedRows().map(tableCells)]),
      "",
      ...sectionLines("refused", [
        ["tier", "error", "ran", "requests"],
        ...this.refusals.map(({ tier, error, ran, count }) => [
          tier,
          error,
          ran,
          String(count),
        ]),
      ]),
      "",
      ...sectionLines("answers by target", [
        ["target", "answers"],
        ...[...this.#answersByTarget].sort().map((
          [id, count],
        ) => [id, String(count)]),
      ]),
      "",
      ...this.#notSentCount > 0
        ? [`not sent, as too many were open: ${this.#notSentCount}`]
        : [],
      `promises broken: ${this.brokenGuaranteeCount}`,
      ...this.#faults.slice(0, MAX_FAULTS_SHOWN).map((fault) => `  ${fault}`),
    ].join("\n");
  }

  /** The result as a value for `--json`. */
  get json(): object {
    return {
      rows: this.#sortedRows().map((row) => ({
        name: rowName(row),
        sent: row.sent,
        answered: row.answered,
        refused: Object.fromEntries(row.refused),
        broken: row.broken,
        waitMs: percentiles(row.waitHistogram),
        totalMs: percentiles(row.totalHistogram),
      })),
      refusals: this.refusals,
      answersByTarget: Object.fromEntries(this.#answersByTarget),
      heldBack: this.#notSentCount,
      promisesBroken: this.#faults,
    };
  }

  #sortedRows(): TallyRow[] {
    return [...this.#rows].sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, row]) => row);
  }

  #rowFor({ tier, kind }: WorkItem): TallyRow {
    const name = rowName({ tier, kind });
    const row = this.#rows.get(name) ?? {
      tier,
      kind,
      sent: 0,
      answered: 0,
      refused: new Map(),
      broken: 0,
      waitHistogram: build({ highestTrackableValue: MAX_RECORDED_MS }),
      totalHistogram: build({ highestTrackableValue: MAX_RECORDED_MS }),
    };
    this.#rows.set(name, row);
    return row;
  }

  #checkText(item: WorkItem, text: string): void {
    const quotedText = item.uniqueText.slice(-QUOTED_PROMPT_CHARS);
    if (this.#options.answersQuotePrompt && !text.includes(quotedText)) {
      this.#faults.push(`${item.kind} got an answer that is not its own`);
    }
  }
}

const TABLE_HEADER = [
  "tier/kind",
  "sent",
  "answered",
  "refused",
  "broken",
  ...PERCENTILES.map((p) => `wait p${p} ms`),
  ...PERCENTILES.map((p) => `total p${p} ms`),
];

function tableCells(row: TallyRow): string[] {
  const times = [row.waitHistogram, row.totalHistogram].flatMap((histogram) =>
    PERCENTILES.map((p) => histogram.getValueAtPercentile(p))
  );
  const counts = [row.sent, row.answered, countRefused(row), row.broken];
  return [rowName(row), ...[...counts, ...times].map(String)];
}

function rowName({ tier, kind }: Pick<TallyRow, "tier" | "kind">): string {
  return `${tier}/${kind}`;
}

function countRefused({ refused }: TallyRow): number {
  return [...refused.values()].reduce((sum, count) => sum + count, 0);
}

function recordMs(histogram: Histogram, timeMs: number): void {
  const wholeMs = Math.round(timeMs);
  histogram.recordValue(Math.min(Math.max(wholeMs, 0), MAX_RECORDED_MS));
}

function percentiles(histogram: Histogram): Record<string, number> {
  return Object.fromEntries(
    PERCENTILES.map((p) => [`p${p}`, histogram.getValueAtPercentile(p)]),
  );
}
