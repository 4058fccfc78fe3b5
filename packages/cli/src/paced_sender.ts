/** Sends generated requests on schedule, regardless of earlier outcomes. */

import type { Sleep } from "@chestnuthatch/daemon/sleep";
import {
  createRequestBody,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import type { CommandOutput } from "./command_runner.ts";
import type { LoadTally } from "./load_tally.ts";
import { sendRequest } from "./send_request.ts";

/** Addresses, tally, timer and progress output of {@link sendPaced}. */
export interface PacedSenderOptions {
  /** `host:port` of instances; requests go to each in turn. */
  readonly addresses: readonly string[];
  readonly tally: LoadTally;
  readonly sleep: Sleep;
  readonly output: CommandOutput;
}

/** Requests that are due while this many are in flight are not sent. */
const MAX_REQUESTS_IN_FLIGHT = 4000;
const PROGRESS_INTERVAL_MS = 2000;

/**
 * Sends requests at their scheduled times and waits for all outcomes. Every
 * request has its own timeout.
 *
 * @param items The requests in time order.
 * @param options Addresses, tally, timer and progress output.
 */
export async function sendPaced(
  items: Iterable<WorkItem>,
  options: PacedSenderOptions,
): Promise<void> {
  const { tally, output } = options;
  const progress = setInterval(
    () => output.err(`${tally.progressLine}\n`),
    PROGRESS_INTERVAL_MS,
  );
  try {
    await sendAll(items, options);
  } finally {
    clearInterval(progress);
  }
}

async function sendAll(
  items: Iterable<WorkItem>,
  { addresses, tally, sleep }: PacedSenderOptions,
): Promise<void> {
  const startedAtMs = performance.now();
  const inFlight = new Set<Promise<void>>();
  let sentCount = 0;
  for (const item of items) {
    const waitMs = item.atMs - (performance.now() - startedAtMs);
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    if (inFlight.size >= MAX_REQUESTS_IN_FLIGHT) {
      tally.recordNotSent();
      continue;
    }
    const address = addresses[sentCount % addresses.length];
    const sending: Promise<void> = sendItem(item, address, tally)
      .finally(() => inFlight.delete(sending));
    inFlight.add(sending);
    sentCount += 1;
  }
  await Promise.all(inFlight);
}

async function sendItem(
  item: WorkItem,
  address: string,
  tally: LoadTally,
): Promise<void> {
  tally.recordSent(item);
  const outcome = await sendRequest(address, {
    workspace: item.workspace,
    tier: item.tier,
    pool: item.pool,
    body: createRequestBody(item),
    promptTokens: item.promptTokens,
    maxOutputTokens: item.maxOutputTokens,
    deadlineMs: item.deadlineMs,
    idempotent: item.idempotent,
    idempotencyKey: item.idempotencyKey,
  });
  tally.recordOutcome(item, outcome);
}
