/**
 * Servers crash one after the other, which breaks off streams that may be
 * resumed, while every server fails 45% of its requests with its own 500. Checks that each stream has a final answer by its route's timeout.
 */

import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../harness/client.mjs";
import { runCase } from "../harness/fleet.mjs";

const SERVERS = 6;
const INSTANCES = 4;
const TIMEOUT_MS = 3000;
const DEADLINE_MS = 15_000;
/** Four times the objective: a requester leaves after such a gap. */
const PATIENCE_MS = 4800;
/** `srv_grey`, `errors all`: share of requests that a server fails. */
const FAILED_SHARE = 0.45;
const GREY_MS = 800;
const CRASHES = 5;
const CRASH_GAP_MS = 4000;
const DOWN_MS = 3500;
const STREAM_GAP_MS = 20;
const LENGTH_MS = 34_000;
const QUIET_MS = 10_000;
const ANSWER_SLACK_MS = 500;
const MIN_UNANSWERED = 8;
const MIN_UNANSWERED_SHARE = 0.25;

const route = {
  name: "plan",
  host: "calls.example",
  prefix: "/plan/",
  kind: "streaming",
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 1200,
  priority: 0,
  service: "engines",
  maxAttempts: 2,
  public: false,
  sticky: true,
  streamResume: true,
  gapAimMs: 300,
};

/** Fails every request at the given share while `isGrey` returns true. */
function greyFailure(isGrey) {
  let credit = 0;
  return () => {
    if (!isGrey()) {
      return undefined;
    }
    credit += FAILED_SHARE;
    if (credit < 1) {
      return undefined;
    }
    credit -= 1;
    return 500;
  };
}

/** Each crash falls into a span in which all servers fail requests. */
async function crashServers(fleet) {
  await sleep(QUIET_MS);
  for (let index = 0; index < CRASHES; index++) {
    const server = fleet.servers[index];
    const greyUntilMs = performance.now() + GREY_MS;
    const failWith = greyFailure(() => performance.now() < greyUntilMs);
    fleet.servers.forEach((each) => each.failWith = failWith);
    fleet.log("all servers fail 45% of their requests for 0.8 s");
    server.crash();
    setTimeout(async () => {
      fleet.store.put("servers", server.id, undefined);
      await server.open(`${server.id}-again`);
      fleet.store.put("servers", server.id, server.row());
    }, DOWN_MS);
    await sleep(CRASH_GAP_MS);
  }
}

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(join(folder, "record.txt"), async (fleet) => {
  fleet.configure(1, { routes: [route], services: ["engines"] });
  await fleet.addServers(SERVERS, {
    service: "engines",
    eventCount: 10,
    eventGapMs: 150,
    firstEventMs: 40,
  });
  await fleet.addInstances(INSTANCES);
  const beganAtMs = performance.now();
  const sinceMs = () => performance.now() - beganAtMs;
  if (fleet.isDisrupted) {
    void crashServers(fleet);
  }
  const sent = [];
  while (sinceMs() < LENGTH_MS) {
    const instance = fleet.instances[sent.length % INSTANCES];
    sent.push(send(fleet, instance, {
      id: `r${String(sent.length).padStart(4, "0")}`,
      path: "/plan/draft",
      deadlineMs: DEADLINE_MS,
      patienceMs: PATIENCE_MS,
      headers: {
        "X-Model": "m",
        "X-Token-Counts": "60,50",
        "X-Prompt-Prefix": "aa:60",
      },
    }));
    await sleep(STREAM_GAP_MS);
  }
  await Promise.all(sent.map(({ done }) => done));
  const isLate = ({ sentAtMs, endedAtMs }, slackMs) =>
    endedAtMs - sentAtMs > TIMEOUT_MS + slackMs;
  const long = sent.filter((each) => isLate(each, 0));
  const unanswered = sent.filter((each) => isLate(each, ANSWER_SLACK_MS));
  const counts = new Map();
  for (const { status, end } of sent) {
    const key = `${end}, status ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  counts.forEach((count, key) => fleet.log(`${count} requests: ${key}`));
  fleet.log(
    `${long.length} of ${sent.length} requests lasted longer than the ` +
      `route's timeout, ${unanswered.length} had no final answer 0.5 s later`,
  );
  return unanswered.length >= MIN_UNANSWERED &&
      unanswered.length > MIN_UNANSWERED_SHARE * long.length
    ? `${unanswered.length} streams without a final answer`
    : undefined;
});
