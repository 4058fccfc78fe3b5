/**
 * One answer in fifty of two servers is spoilt for 5.5 s: bytes without the end
 * of an event, on a route whose streams may not be resumed. Checks that plain
 * calls at the same instances are answered by their route's timeout.
 */

import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../harness/client.mjs";
import { runCase } from "../harness/fleet.mjs";

const INSTANCES = 4;
const ENGINES = 6;
const DESKS = 4;
/** `garble`: two of six servers (0.33), one answer in fifty (0.02), 5.5 s. */
const SPOILT_SERVERS = 2;
const SPOILT_EVERY = 50;
const SPOILT_FIRST = 25;
const SPOILT_MS = 5500;
/** 3.2% of the link of a machine (1,000 Mbit/s). */
const SPOILT_BYTES_PER_S = 4_000_000;
const QUIET_MS = 5000;
const LENGTH_MS = 22_000;
const NOTE_GAP_MS = 35;
const TICKET_GAP_MS = 15;
const TICKET_TIMEOUT_MS = 1200;
const ANSWER_SLACK_MS = 500;
const MIN_UNANSWERED = 8;
const MIN_UNANSWERED_SHARE = 0.5;
const READY_CHECK_MS = 1000;

/** Four times the objective: a stream's requester leaves after such a gap. */
const NOTE_PATIENCE_MS = 3200;

const routes = [
  {
    name: "note",
    host: "calls.example",
    prefix: "/note/",
    kind: "streaming",
    timeoutMs: 15_000,
    targetLatencyMs: 800,
    priority: 1,
    service: "engines",
    maxAttempts: 1,
    public: false,
    sticky: true,
    streamResume: false,
    gapAimMs: 300,
  },
  {
    name: "ticket",
    host: "calls.example",
    prefix: "/ticket/",
    kind: "unsafe",
    timeoutMs: TICKET_TIMEOUT_MS,
    targetLatencyMs: 193,
    priority: 2,
    service: "desk",
    maxAttempts: 1,
    public: false,
    sticky: false,
  },
];

/** Spoils every fiftieth answer of the first engines for a time. */
function spoilAnswers(fleet) {
  const untilMs = performance.now() + SPOILT_MS;
  let answers = 0;
  for (const server of fleet.servers.slice(0, SPOILT_SERVERS)) {
    server.isSpoilt = () => {
      if (performance.now() > untilMs) {
        return false;
      }
      answers++;
      return answers % SPOILT_EVERY === SPOILT_FIRST;
    };
  }
  fleet.log(`${SPOILT_SERVERS} servers begin to spoil answers`);
}

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(join(folder, "record.txt"), async (fleet) => {
  fleet.configure(1, { routes, services: ["engines", "desk"] });
  await fleet.addServers(ENGINES, {
    service: "engines",
    eventCount: 20,
    eventGapMs: 20,
    firstEventMs: 40,
    spoiltBytesPerS: SPOILT_BYTES_PER_S,
  });
  await fleet.addServers(DESKS, { service: "desk", workMs: 43, slots: 6 });
  await fleet.addInstances(INSTANCES);
  const beganAtMs = performance.now();
  const isPlaying = () => performance.now() - beganAtMs < LENGTH_MS;
  if (fleet.isDisrupted) {
    setTimeout(() => spoilAnswers(fleet), QUIET_MS);
  }
  const notes = [];
  const tickets = [];
  const sendNotes = async () => {
    while (isPlaying()) {
      notes.push(send(fleet, fleet.instances[notes.length % INSTANCES], {
        id: `n${String(notes.length).padStart(4, "0")}`,
        path: "/note/draft",
        deadlineMs: 15_000,
        patienceMs: NOTE_PATIENCE_MS,
        headers: {
          "X-Model": "m",
          "X-Token-Counts": "60,100",
          "X-Prompt-Prefix": "aa:60",
        },
      }));
      await sleep(NOTE_GAP_MS);
    }
  };
  const sendTickets = async () => {
    while (isPlaying()) {
      tickets.push(send(fleet, fleet.instances[tickets.length % INSTANCES], {
        id: `t${String(tickets.length).padStart(4, "0")}`,
        path: "/ticket/update",
        deadlineMs: 2500,
      }));
      await sleep(TICKET_GAP_MS);
    }
  };
  const checkReadiness = async () => {
    while (isPlaying()) {
      for (const instance of fleet.instances) {
        if (!await instance.isReady()) {
          fleet.log(
            `instance ${instance.name} does not answer /ready with 200`,
          );
        }
      }
      await sleep(READY_CHECK_MS);
    }
  };
  await Promise.all([sendNotes(), sendTickets(), checkReadiness()]);
  await Promise.all([...notes, ...tickets].map(({ done }) => done));
  const tookMs = ({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs;
  const long = tickets.filter((each) => tookMs(each) > TICKET_TIMEOUT_MS);
  const unanswered = long.filter((each) =>
    tookMs(each) > TICKET_TIMEOUT_MS + ANSWER_SLACK_MS
  );
  const counts = new Map();
  for (const { instance, status, end } of [...notes, ...tickets]) {
    const key = `at ${instance}: ${end}, status ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  [...counts].sort().forEach(([key, count]) =>
    fleet.log(`${count} requests ${key}`)
  );
  fleet.log(
    `${long.length} of ${tickets.length} plain calls had no answer at their ` +
      `route's timeout, ${unanswered.length} had none 0.5 s later`,
  );
  return unanswered.length >= MIN_UNANSWERED &&
      unanswered.length > MIN_UNANSWERED_SHARE * long.length
    ? `${unanswered.length} plain calls without an answer`
    : undefined;
});
