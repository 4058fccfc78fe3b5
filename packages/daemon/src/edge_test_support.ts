/** Test doubles for the tests of the edges: clock, context and servers. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { EventKind } from "@chestnuthatch/core/events";
import type {
  Row,
  TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import type { Clock, EdgeContext, UntimedEvent } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** Event of one kind, without its time. */
export type Emitted<K extends EventKind> = Extract<UntimedEvent, { kind: K }>;

/** Clock that tests set and that {@link TestClock.sleep} advances. */
export class TestClock implements Clock {
  /** Current time in milliseconds. */
  atMs = 0;

  nowMs(): number {
    return this.atMs;
  }

  /** Advances the clock by the delay instead of waiting. */
  readonly sleep: Sleep = async (delayMs) => {
    this.atMs += delayMs;
    await new Promise((resolve) => setImmediate(resolve));
  };
}

/** Records the events and logs of an edge, and lets tests wait for events. */
export class TestContext implements EdgeContext {
  readonly clock = new TestClock();
  readonly events: UntimedEvent[] = [];
  readonly logs: string[] = [];
  #waiters: (() => void)[] = [];

  readonly emit = (event: UntimedEvent): void => {
    this.events.push(event);
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((resume) => resume());
  };

  readonly log: EdgeContext["log"] = (_level, _part, text) => {
    this.logs.push(text);
  };

  readonly count = (): void => {};

  /**
   * Waits until an event of one of some kinds has been emitted.
   *
   * @param kinds Kinds to wait for.
   * @returns The first recorded event of these kinds.
   */
  async waitForEvent<K extends EventKind>(...kinds: K[]): Promise<Emitted<K>> {
    for (;;) {
      const found = this.events.find(({ kind }) => kinds.includes(kind as K));
      if (found !== undefined) {
        return found as Emitted<K>;
      }
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }
}

/** Request received by a test server, with its response. */
export interface ReceivedRequest {
  readonly path: string;
  readonly body: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** HTTP server on a free port of the loopback interface. */
export class TestServer {
  /** Complete requests in order of arrival. */
  readonly received: ReceivedRequest[] = [];
  readonly #server: Server;

  /** @param answer Answers a request; called once its body has arrived. */
  constructor(answer: (received: ReceivedRequest) => void) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => {
        const body = Buffer.concat(chunks).toString("utf8");
        const receivedRequest = { path: request.url!, body, request, response };
        this.received.push(receivedRequest);
        answer(receivedRequest);
      });
    });
  }

  /** `host:port` that the server listens on, once it has started. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** @returns Paths of the received requests, in order of arrival. */
  paths(): string[] {
    return this.received.map(({ path }) => path);
  }

  /** @returns This server, once it accepts connections. */
  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return this;
  }

  /** @returns Settles once all connections and the port are closed. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** Fault that a {@link TestTable} applies to a call. */
export enum TableFault {
  None = "none",
  /** The call takes effect, but its answer is not sent. */
  AnswerLost = "answer_lost",
  /** The call has no effect, and its connection is closed. */
  CallLost = "call_lost",
  /** The call has no effect and is answered with status 503. */
  Down = "down",
}

/** In-memory server of the platform's table and object store, with faults. */
export class TestTable {
  readonly rows = new Map<string, Row>();
  readonly objects = new Map<string, string>();
  readonly server = new TestServer((received) => this.#answer(received));
  /** Faults of the next writes, in order; then `defaultFault` applies. */
  readonly writeFaults: TableFault[] = [];
  /** Faults of the next reads, in order; then `defaultFault` applies. */
  readonly readFaults: TableFault[] = [];
  /** Fault of each call without a fault of its own. */
  defaultFault = TableFault.None;
  /** Called before each call is answered. */
  onCall: (path: string) => void = () => {};
  #lastVersion = 0;

  /**
   * Writes a row with a new version.
   *
   * @param key Key of the row.
   * @param value Value to store as JSON.
   */
  put(key: string, value: unknown): void {
    const text = JSON.stringify(value);
    this.rows.set(key, { key, value: text, version: ++this.#lastVersion });
  }

  /**
   * Reads the value of a row that exists.
   *
   * @param key Key of the row.
   * @returns The parsed JSON value.
   */
  value(key: string): Record<string, unknown> {
    return JSON.parse(this.rows.get(key)!.value);
  }

  #answer({ path, body, request, response }: ReceivedRequest): void {
    this.onCall(path);
    const isWrite = path === "/table/transact" || request.method === "PUT";
    const faults = isWrite ? this.writeFaults : this.readFaults;
    const fault = faults.shift() ?? this.defaultFault;
    if (fault === TableFault.Down) {
      response.writeHead(503).end();
      return;
    }
    if (fault === TableFault.CallLost) {
      response.destroy();
      return;
    }
    const answer = this.#serve(path, body, request.method!);
    if (fault === TableFault.AnswerLost) {
      response.destroy();
      return;
    }
    response.writeHead(answer === undefined ? 404 : 200).end(answer);
  }

  #serve(path: string, body: string, method: string): string | undefined {
    if (path === "/table/transact") {
      return JSON.stringify(this.#transact(JSON.parse(body)));
    }
    if (path === "/table/read") {
      const keys = JSON.parse(body).keys as string[];
      const rows = keys.flatMap((key) => this.rows.get(key) ?? []);
      return JSON.stringify({ rows });
    }
    const key = decodeURIComponent(path.slice("/objects/".length));
    if (method === "PUT") {
      this.objects.set(key, body);
      return "";
    }
    return this.objects.get(key);
  }

  #transact(request: TransactRequest): unknown {
    const failed = request.conditions.filter(({ key, version }) =>
      (this.rows.get(key)?.version ?? 0) !== version
    );
    if (failed.length > 0) {
      const conflicts = failed.flatMap(({ key }) => this.rows.get(key) ?? []);
      return { committed: false, rows: [], conflicts };
    }
    const rows = request.puts.map(({ key, value }) => {
      const row = { key, value, version: ++this.#lastVersion };
      this.rows.set(key, row);
      return row;
    });
    request.deletes.forEach((key) => this.rows.delete(key));
    return { committed: true, rows, conflicts: [] };
  }
}
