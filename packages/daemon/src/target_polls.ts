/** Polling of targets for their reports of load and of cache events. */

import { EventKind } from "@chestnuthatch/core/events";
import {
  type EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import {
  cacheEventsAnswerSchema,
  loadAnswerSchema,
} from "@chestnuthatch/wire/target_protocol";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { callHttp } from "./http_call.ts";
import { parseJson } from "./ndjson_reader.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import type { TargetConnections } from "./target_connections.ts";

interface ReportPoll {
  /** Kind of the report, as a label of the call counter. */
  readonly call: string;
  readonly targetId: string;
  readonly address: string;
  readonly path: string;
}

const POLL_TIMEOUT_MS = 1000;
const MAX_REPORT_BYTES = 1024 * 1024;
const STATUS_OK = 200;

/** Polls targets, with at most one poll of each kind in flight per target. */
export class TargetPolls {
  readonly #context: EdgeContext;
  readonly #connections: TargetConnections;
  readonly #inFlight = new Set<string>();

  /**
   * @param context Clock, event sink, log and counters of the instance.
   * @param connections Connections to targets.
   */
  constructor(context: EdgeContext, connections: TargetConnections) {
    this.#context = context;
    this.#connections = connections;
  }

  /**
   * Reads the load of a target and emits `LoadReported` or `LoadReportFailed`.
   *
   * @param effect Id and address of the target.
   */
  async pollLoad(effect: EffectOf<EffectKind.PollLoad>): Promise<void> {
    const { targetId, address } = effect;
    const poll = { call: "load", targetId, address, path: "/v1/load" };
    await this.#withoutOverlap(poll, async () => {
      const load = await this.#readReport(poll, loadAnswerSchema);
      if (load.isOk() && load.value.targetId === targetId) {
        this.#context.emit({ kind: EventKind.LoadReported, load: load.value });
        return;
      }
      const reason = load.isErr() ? load.error : "another target answered";
      this.#logFailure(poll, reason);
      this.#context.emit({ kind: EventKind.LoadReportFailed, targetId });
    });
  }

  /**
   * Reads the cache events of an engine and emits `CacheEventsRead`; a failure
   * is only logged.
   *
   * @param effect Id and address of the target, and the last event read before.
   */
  async pollCacheEvents(
    effect: EffectOf<EffectKind.PollCacheEvents>,
  ): Promise<void> {
    const { targetId, address, after } = effect;
    const path = `/v1/cache-events?after=${after}`;
    const poll = { call: "cache_events", targetId, address, path };
    await this.#withoutOverlap(poll, async () => {
      const answer = await this.#readReport(poll, cacheEventsAnswerSchema);
      if (answer.isErr()) {
        this.#logFailure(poll, answer.error);
        return;
      }
      this.#context.emit({
        kind: EventKind.CacheEventsRead,
        targetId,
        answer: answer.value,
      });
    });
  }

  async #withoutOverlap(
    poll: ReportPoll,
    run: () => Promise<void>,
  ): Promise<void> {
    const pollKey = `${poll.call} ${poll.targetId}`;
    if (this.#inFlight.has(pollKey)) {
      return;
    }
    this.#inFlight.add(pollKey);
    await run();
    this.#inFlight.delete(pollKey);
  }

  async #readReport<T>(
    poll: ReportPoll,
    schema: z.ZodType<T>,
  ): Promise<Result<T, string>> {
    const pools = this.#connections.getOrCreate(poll.targetId, poll.address);
    if (pools === undefined) {
      return err("invalid address");
    }
    this.#context.count(EdgeCounterName.TargetCalls, { call: poll.call }, 1);
    const answer = await callHttp(
      pools.controlPool,
      { method: "GET", path: poll.path },
      {
        clock: this.#context.clock,
        timeoutMs: POLL_TIMEOUT_MS,
        maxAnswerBytes: MAX_REPORT_BYTES,
      },
    );
    if (answer.isErr()) {
      return err(answer.error.reason);
    }
    if (answer.value.statusCode !== STATUS_OK) {
      return err(`status ${answer.value.statusCode}`);
    }
    const json = parseJson(answer.value.body.toString("utf8"));
    const parsed = schema.safeParse(json.unwrapOr(undefined));
    return parsed.success ? ok(parsed.data) : err("invalid answer");
  }

  #logFailure(poll: ReportPoll, reason: string): void {
    this.#context.log(
      LogLevel.Debug,
      LogPart.Targets,
      `Poll of ${poll.call} at ${poll.targetId} failed: ${reason}.`,
    );
  }
}
