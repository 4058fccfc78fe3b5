/**
 * Stand-in for a server: runs plain calls and streams of events with increasing
 * ids, and keeps a record of every run. Its answers follow PROTOCOL.md.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Payload of one packet. */
const SPOILT_PIECE_BYTES = 1400;

export class Server {
  /** Every request that arrived: id, whether it ran, times, how it ended. */
  arrivals = [];
  /** Decides about a request before it runs; returns a status or undefined. */
  failWith = () => undefined;
  /** Decides whether the answer to a request has no event boundaries. */
  isSpoilt = () => false;
  /** Whether the service's health path answers 200. */
  isHealthy = true;
  #options;
  #server;
  #sockets = new Set();
  #port = 0;

  /**
   * Options: `id`, `host`, `eventCount`, `eventGapMs`, `firstEventMs`,
   * `workMs`, `spoiltBytesPerS`, `log`.
   */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get address() {
    return `${this.#options.host}:${this.#port}`;
  }

  /** Starts to listen; after a crash on the same port, under another id. */
  async open(id = this.id) {
    this.#options = { ...this.#options, id };
    this.#server = createServer((request, response) => {
      this.#receive(request, response);
    });
    this.#server.keepAliveTimeout = 20_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve) => {
      this.#server.listen(this.#port, this.#options.host, resolve);
    });
    this.#port = this.#server.address().port;
  }

  /** Ends like a crashed process: nothing listens, all channels are reset. */
  crash() {
    this.#options.log(`server ${this.id} crashes`);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Row of the server in the platform's store. */
  row(overrides = {}) {
    return {
      service: this.#options.service,
      address: this.address,
      zone: this.#options.zone,
      version: "v1",
      slots: this.#options.slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      ...overrides,
    };
  }

  #receive(request, response) {
    const chunks = [];
    request.on("error", () => {});
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks).toString();
      if (request.url === "/health") {
        response.writeHead(this.isHealthy ? 200 : 503, {
          "X-Instance-Id": this.id,
        }).end();
        return;
      }
      this.#serve(request, response, body);
    });
  }

  #serve(request, response, body) {
    const { headers, method, url } = request;
    const id = headers["x-request-id"];
    const arrival = {
      id,
      server: this.id,
      atMs: performance.now(),
      method,
      url,
      headers,
      body,
      ran: false,
      lastEventId: headers["last-event-id"],
    };
    this.arrivals.push(arrival);
    if (headers["x-expect-instance"] !== this.id || id === undefined) {
      response.writeHead(id === undefined ? 400 : 421, {
        "X-Not-Executed": "1",
        "X-Instance-Id": this.id,
      }).end();
      return;
    }
    arrival.ran = true;
    const { log } = this.#options;
    const status = this.failWith(arrival);
    const answerHeaders = {
      "X-Request-Id": id,
      "X-Response-Seal": `seal.${this.id}.${id}`,
    };
    if (status !== undefined) {
      const text = `failed ${id}`;
      response.writeHead(status, {
        ...answerHeaders,
        "Content-Length": text.length,
      }).end(text);
      arrival.end = String(status);
      log(`server ${this.id} ran ${id}: answers ${status}`);
    } else if (headers["x-token-counts"] !== undefined) {
      this.#stream(arrival, response, answerHeaders);
    } else {
      this.#answer(arrival, response, answerHeaders);
    }
  }

  #answer(arrival, response, headers) {
    const text = `answer to ${arrival.id}`;
    const timer = setTimeout(() => {
      response.writeHead(200, { ...headers, "Content-Length": text.length })
        .end(text);
      arrival.end = "200";
      this.#options.log(`server ${this.id} ran ${arrival.id}: answers 200`);
    }, this.#options.workMs);
    response.on("close", () => clearTimeout(timer));
  }

  #stream(arrival, response, headers) {
    const { eventCount, eventGapMs, firstEventMs, log } = this.#options;
    const last = Number(arrival.lastEventId ?? 0);
    log(`server ${this.id} runs ${arrival.id} from event ${last + 1}`);
    response.writeHead(200, {
      ...headers,
      "Content-Type": "text/event-stream",
    });
    if (this.isSpoilt(arrival)) {
      this.#sendSpoiltBytes(arrival, response);
      return;
    }
    let next = last + 1;
    let timer = setTimeout(function send() {
      if (next > eventCount) {
        response.end();
        arrival.end = "complete";
        return;
      }
      response.write(`id: ${next}\ndata: event ${next} of ${arrival.id}\n\n`);
      next++;
      timer = setTimeout(send, eventGapMs);
    }, firstEventMs);
    response.on("close", () => {
      clearTimeout(timer);
      arrival.end ??= `broken off before event ${next}`;
      log(`server ${this.id} ends ${arrival.id}: ${arrival.end}`);
    });
  }

  /** Sends bytes without a line break until its deadline or the channel's end. */
  #sendSpoiltBytes(arrival, response) {
    const { log, spoiltBytesPerS } = this.#options;
    log(`server ${this.id} spoils the answer to ${arrival.id}`);
    const piece = Buffer.alloc(SPOILT_PIECE_BYTES, "x");
    const beganAtMs = performance.now();
    let sentBytes = 0;
    const timer = setInterval(() => {
      const elapsedMs = performance.now() - beganAtMs;
      if (elapsedMs > Number(arrival.headers["x-deadline-ms"])) {
        response.destroy();
        return;
      }
      while (
        sentBytes < spoiltBytesPerS * elapsedMs / 1000 &&
        !response.writableNeedDrain
      ) {
        response.write(piece);
        sentBytes += piece.length;
      }
    }, 5);
    response.on("close", () => {
      clearInterval(timer);
      const tookMs = Math.round(performance.now() - beganAtMs);
      arrival.end = "spoilt";
      log(
        `server ${this.id}: channel of ${arrival.id} closes after ${tookMs} ` +
          `ms, ${sentBytes} spoilt bytes`,
      );
    });
  }
}
