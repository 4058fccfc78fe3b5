/** Requesters of a case. */

import { request } from "node:http";
import { HOST, KEY } from "./fleet.mjs";

/**
 * Sends one request on a new channel and follows its answer.
 *
 * Returns an object that is filled as the answer arrives: `status`, `events`
 * (ids), `isComplete`, `endedAtMs` (the answer's end or the channel's end) and
 * `end`. The requester leaves at its deadline, and after `patienceMs` without
 * an event of a stream.
 */
export function send(fleet, instance, options) {
  const { id, path, deadlineMs, method = "POST", headers = {}, body = "x" } =
    options;
  const { patienceMs = Infinity } = options;
  const sent = { id, instance: instance.name, sentAtMs: performance.now() };
  sent.events = [];
  fleet.log(`request ${id} is sent to ${instance.name}`);
  sent.done = new Promise((resolve) => {
    const end = (how, isComplete) => {
      if (sent.end === undefined) {
        clearTimeout(timer);
        clearTimeout(gapTimer);
        sent.end = how;
        sent.isComplete = isComplete;
        sent.endedAtMs = performance.now();
        fleet.log(
          `request ${id}: ${how}, status ${sent.status}, ` +
            `${sent.events.length} events`,
        );
        resolve(sent);
      }
    };
    const call = request({
      host: instance.host,
      port: instance.port,
      method,
      path,
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(deadlineMs),
        Authorization: `Bearer ${KEY}`,
        ...headers,
        ...(method === "GET" ? {} : { "Content-Length": body.length }),
      },
    });
    const leave = (why) => {
      end(`${why}; the requester leaves`, false);
      call.destroy();
    };
    const timer = setTimeout(
      () => leave("no complete answer by the deadline"),
      deadlineMs,
    );
    let gapTimer;
    const restartPatience = () => {
      clearTimeout(gapTimer);
      if (patienceMs < Infinity && sent.end === undefined) {
        gapTimer = setTimeout(() => leave("no event for too long"), patienceMs);
      }
    };
    restartPatience();
    call.on("error", (error) => end(`channel failed: ${error.code}`, false));
    call.on("response", (response) => {
      sent.status = response.statusCode;
      sent.headers = response.headers;
      sent.body = "";
      response.on("data", (chunk) => {
        sent.body += chunk;
        sent.events = [...sent.body.matchAll(/^id: (\d+)$/gm)]
          .map(([, number]) => Number(number));
        restartPatience();
      });
      response.on("end", () => end("answered", true));
      response.on("error", () => end("broken off", false));
      response.on("close", () => end("broken off", false));
    });
    call.end(method === "GET" ? undefined : body);
  });
  return sent;
}
