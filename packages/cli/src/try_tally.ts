/** Counts what `chestnuthatch try` sent, got and found broken. */

import { build, type Histogram } from "hdr-histogram-js";
import type { WorkItem } from "@chestnuthatch/standins/workload";
import type { EmbeddedFleet } from "./embedded_fleet.ts";
import type { SentOutcome } from "./send_request.ts";

interface Row {
  sent: number;
  answered: number;
  refused: Map<string, number>;
  broken: number;
  readonly waits: Histogram;
}

/** Keeps the tally of one run. */
export class TryTally {
  readonly #rows = new Map<string, Row>();
  readonly #byTarget = new Map<string, number>();
  readonly #faults: string[] = [];

  /** @param item A request that goes out. */
  sent(item: WorkItem): void {
    this.#row(item).sent += 1;
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
      const { targetId, waitedMs, text } = outcome.answer;
      row.answered += 1;
      row.waits.recordValue(Math.max(0, Math.round(waitedMs)));
      this.#byTarget.set(targetId, (this.#byTarget.get(targetId) ?? 0) + 1);
      this.#checkText(item, text);
    } else if ("refusal" in outcome) {
      const { error, ran } = outcome.refusal;
      const kind = `${error}/${ran}`;
      row.refused.set(kind, (row.refused.get(kind) ?? 0) + 1);
    } else {
      row.broken += 1;
      this.#faults.push(`${item.kind}: ${outcome.broken}`);
    }
  }

  /**
   * Compares what targets ran with what was promised.
   *
   * @param fleet The fleet whose stand-ins counted.
   */
  checkTargets(fleet: EmbeddedFleet): void {
    const servers = [
      ...fleet.standins.engines.values(),
      ...fleet.standins.services.values(),
    ];
    const dispatches = new Map<string, number>();
    for (const server of servers) {
      const { counts } = server.model;
      for (const [id, times] of counts.dispatchesByRequestId) {
        dispatches.set(id, (dispatches.get(id) ?? 0) + times);
      }
    }
    for (const [id, times] of dispatches) {
      if (times > 1) {
        this.#faults.push(`${id} was dispatched ${times} times`);
      }
    }
    this.#checkKeys(fleet);
  }

  /** How many promises were broken. */
  get promisesBroken(): number {
    return this.#faults.length;
  }

  /** @returns One line on how far the run is. */
  progressLine(): string {
    const rows = [...this.#rows.values()];
    const sum = (of: (row: Row) => number) =>
      rows.reduce((total, row) => total + of(row), 0);
    const refused = sum((row) => countRefused(row));
    const sent = sum((row) => row.sent);
    const answered = sum((row) => row.answered);
    return `sent ${sent}, answered ${answered}, refused ${refused}, open ${
      sent - answered - refused - sum((row) => row.broken)
    }`;
  }

  /** @returns The result as a table. */
  table(): string {
    const header = [
      "tier/kind",
      "sent",
      "answered",
      "refused",
      "p50 wait ms",
      "p95",
      "p99",
    ];
    const lines = [...this.#rows].sort().map(([name, row]) =>
      [
        name,
        row.sent,
        row.answered,
        describeRefused(row),
        ...[50, 95, 99].map((p) => row.waits.getValueAtPercentile(p)),
      ].map(String)
    );
    const targets = [...this.#byTarget].sort()
      .map(([id, count]) => `  ${id}: ${count}`);
    return [
      ...alignColumns([header, ...lines]),
      "",
      "answers by target:",
      ...targets,
      "",
      `promises broken: ${this.promisesBroken}`,
      ...this.#faults.slice(0, 20).map((fault) => `  ${fault}`),
    ].join("\n");
  }

  /** @returns The result as JSON text. */
  json(): string {
    return JSON.stringify(
      {
        rows: [...this.#rows].map(([name, row]) => ({
          name,
          sent: row.sent,
          answered: row.answered,
          refused: Object.fromEntries(row.refused),
          broken: row.broken,
          waitMs: {
            p50: row.waits.getValueAtPercentile(50),
            p95: row.waits.getValueAtPercentile(95),
            p99: row.waits.getValueAtPercentile(99),
          },
        })),
        answersByTarget: Object.fromEntries(this.#byTarget),
        promisesBroken: this.#faults,
      },
      null,
      2,
    );
  }

  #row(item: WorkItem): Row {
    const name = `${item.tier}/${item.kind}`;
    const row = this.#rows.get(name) ?? {
      sent: 0,
      answered: 0,
      refused: new Map(),
      broken: 0,
      waits: build({ highestTrackableValue: 600_000 }),
    };
    this.#rows.set(name, row);
    return row;
  }

  #checkText(item: WorkItem, text: string): void {
    const own = item.seedText.slice(-8);
    if (!text.includes(own)) {
      this.#faults.push(`${item.kind} got an answer that is not its own`);
    }
  }

  #checkKeys(fleet: EmbeddedFleet): void {
    for (const service of fleet.standins.services.values()) {
      for (const [key, runs] of service.model.counts.runsByKey) {
        if (runs > 1) {
          this.#faults.push(`key ${key} ran ${runs} times`);
        }
      }
    }
  }
}

function countRefused(row: Row): number {
  return [...row.refused.values()].reduce((sum, count) => sum + count, 0);
}

function describeRefused(row: Row): string {
  const kinds = [...row.refused].map(([kind, count]) => `${count} ${kind}`);
  return kinds.length === 0 ? "0" : kinds.join(", ");
}

function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
}
