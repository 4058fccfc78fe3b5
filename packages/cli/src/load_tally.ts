/** Counts what was sent and how it ended, by tier and kind of request. */

import { build, type Histogram } from "hdr-histogram-js";
import type { WorkItem } from "@chestnuthatch/standins/workload";
import type { SentOutcome } from "./send_request.ts";
import { alignColumns, section } from "./text_table.ts";

/** What a tally checks besides counting. */
export interface LoadTallyOptions {
  /** Whether answers quote the end of their prompt, as stand-ins do. */
  readonly answersQuotePrompt: boolean;
}

/** Refusals of one tier and error kind. */
export interface RefusedCount {
  readonly tier: string;
  readonly error: string;
  readonly ran: string;
  readonly count: number;
}

interface Row {
  readonly tier: string;
  readonly kind: string;
  sent: number;
  answered: number;
  readonly refused: Map<string, number>;
  broken: number;
  readonly waits: Histogram;
  readonly totals: Histogram;
}

const HIGHEST_TIME_MS = 3_600_000;
const PERCENTILES = [50, 95, 99] as const;
const MAX_FAULTS_SHOWN = 20;
/** The part of a prompt that stand-ins are sure to quote. */
const QUOTED_CHARACTERS = 40;

/** Keeps the tally of one run. */
export class LoadTally {
  readonly #options: LoadTallyOptions;
  readonly #rows = new Map<string, Row>();
  readonly #byTarget = new Map<string, number>();
  readonly #faults: string[] = [];
  #heldBack = 0;

  /** @param options What to check. */
  constructor(options: LoadTallyOptions) {
    this.#options = options;
  }

  /** @param item A request that goes out. */
  sent(item: WorkItem): void {
    this.#row(item).sent += 1;
  }

  /** Counts a request that was not sent, as too many were open. */
  heldBack(): void {
    this.#heldBack += 1;
  }

  /**
   * Counts an outcome and checks it against what was promised.
   *
   * @param item The request.
   * @param outcome How it ended for its caller.
   */
  ended(item: WorkItem, outcome: SentOutcome): void {
    const row = this.#row(item);
    if ("answer" in outcome) {
      const { targetId, waitedMs, totalMs, text } = outcome.answer;
      row.answered += 1;
      recordMs(row.waits, waitedMs);
      recordMs(row.totals, totalMs);
      this.#byTarget.set(targetId, (this.#byTarget.get(targetId) ?? 0) + 1);
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

  /** @param fault A promise found broken elsewhere. */
  addFault(fault: string): void {
    this.#faults.push(fault);
  }

  /** How many promises were broken. */
  get promisesBroken(): number {
    return this.#faults.length;
  }

  /** Refusals by tier and error kind, in their order. */
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

  /** One line on how far the run is. */
  get progressLine(): string {
    const sum = (of: (row: Row) => number) =>
      [...this.#rows.values()].reduce((total, row) => total + of(row), 0);
    const sent = sum((row) => row.sent);
    const answered = sum((row) => row.answered);
    const refused = sum(countRefused);
    const open = sent - answered - refused - sum((row) => row.broken);
    return `sent ${sent}, answered ${answered}, refused ${refused}, ` +
      `open ${open}`;
  }

  /** The result as tables. */
  get text(): string {
    return [
      ...alignColumns([TABLE_HEADER, ...this.#sortedRows().map(cellsOf)]),
      "",
      ...section("refused", [
        ["tier", "error", "ran", "requests"],
        ...this.refusals.map(({ tier, error, ran, count }) => [
          tier,
          error,
          ran,
          String(count),
        ]),
      ]),
      "",
      ...section("answers by target", [
        ["target", "answers"],
        ...[...this.#byTarget].sort().map(([id, count]) => [id, String(count)]),
      ]),
      "",
      ...this.#heldBack > 0
        ? [`not sent, as too many were open: ${this.#heldBack}`]
        : [],
      `promises broken: ${this.promisesBroken}`,
      ...this.#faults.slice(0, MAX_FAULTS_SHOWN).map((fault) => `  ${fault}`),
    ].join("\n");
  }

  /** The result for programs. */
  get json(): object {
    return {
      rows: this.#sortedRows().map((row) => ({
        name: nameOf(row),
        sent: row.sent,
        answered: row.answered,
        refused: Object.fromEntries(row.refused),
        broken: row.broken,
        waitMs: percentilesOf(row.waits),
        totalMs: percentilesOf(row.totals),
      })),
      refusals: this.refusals,
      answersByTarget: Object.fromEntries(this.#byTarget),
      heldBack: this.#heldBack,
      promisesBroken: this.#faults,
    };
  }

  #sortedRows(): Row[] {
    return [...this.#rows].sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, row]) => row);
  }

  #row({ tier, kind }: WorkItem): Row {
    const name = nameOf({ tier, kind });
    const row = this.#rows.get(name) ?? {
      tier,
      kind,
      sent: 0,
      answered: 0,
      refused: new Map(),
      broken: 0,
      waits: build({ highestTrackableValue: HIGHEST_TIME_MS }),
      totals: build({ highestTrackableValue: HIGHEST_TIME_MS }),
    };
    this.#rows.set(name, row);
    return row;
  }

  #checkText(item: WorkItem, text: string): void {
    const own = item.uniqueText.slice(-QUOTED_CHARACTERS);
    if (this.#options.answersQuotePrompt && !text.includes(own)) {
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

function cellsOf(row: Row): string[] {
  const times = [row.waits, row.totals].flatMap((histogram) =>
    PERCENTILES.map((p) => histogram.getValueAtPercentile(p))
  );
  const counts = [row.sent, row.answered, countRefused(row), row.broken];
  return [nameOf(row), ...[...counts, ...times].map(String)];
}

function nameOf({ tier, kind }: Pick<Row, "tier" | "kind">): string {
  return `${tier}/${kind}`;
}

function countRefused({ refused }: Row): number {
  return [...refused.values()].reduce((sum, count) => sum + count, 0);
}

function recordMs(histogram: Histogram, timeMs: number): void {
  const wholeMs = Math.round(timeMs);
  histogram.recordValue(Math.min(Math.max(wholeMs, 0), HIGHEST_TIME_MS));
}

function percentilesOf(histogram: Histogram): Record<string, number> {
  return Object.fromEntries(
    PERCENTILES.map((p) => [`p${p}`, histogram.getValueAtPercentile(p)]),
  );
}
