/** HTTP server of the simulated platform, on the real clock. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ListedKind,
  readRequestSchema,
  transactRequestSchema,
} from "@chestnuthatch/wire/platform_protocol";
import * as z from "zod";
import {
  jsonRoute,
  type ListenAddress,
  type ListenOptions,
  type NowMs,
  parseQuery,
  processNowMs,
  readBodyText,
  sendBadRequest,
  sendJson,
  StandinHttpServer,
} from "./http_server.ts";
import { handleByKind, type KindHandlers } from "./kind_handlers.ts";
import {
  type ObjectAnswer,
  PlatformModel,
  type PlatformModelOptions,
  PlatformOutcome,
  type PlatformReply,
} from "./platform_model.ts";

/** Options of a platform server. */
export interface PlatformServerOptions extends ListenOptions {
  readonly platform: PlatformModelOptions;
  /** The clock; defaults to the process's monotonic clock. */
  readonly nowMs?: NowMs;
}

/** Faults of the platform that can be injected. */
export enum PlatformFaultKind {
  /** Every call is answered with 503. */
  Down = "down",
  /** Every answer is delayed. */
  Slow = "slow",
  /** The next writes take effect, but get no answer. */
  LoseAnswers = "lose_answers",
  /** The next writes have neither effect nor answer. */
  LoseWrites = "lose_writes",
}

const timesSchema = z.number().int().nonnegative();

/** Body of `POST /standin/faults`: a fault to inject or to end. */
export const platformFaultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(PlatformFaultKind.Down),
    on: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(PlatformFaultKind.Slow),
    delayMs: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(PlatformFaultKind.LoseAnswers),
    times: timesSchema,
  }),
  z.strictObject({
    kind: z.literal(PlatformFaultKind.LoseWrites),
    times: timesSchema,
  }),
]);
/** A fault of the platform to inject or to end. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** Kinds of changes to the platform's list of instances and targets. */
export enum ListChangeKind {
  /** Add or replace an entry. */
  Put = "put",
  /** Mark an entry as leaving. */
  Leave = "leave",
  /** Remove an entry. */
  Remove = "remove",
}

/** Body of `POST /standin/instances`: a change to the instance list. */
export const listChangeSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(ListChangeKind.Put),
    instance: z.strictObject({
      id: z.string(),
      kind: z.enum(ListedKind),
      failureDomain: z.string(),
      address: z.string(),
      leaving: z.boolean(),
    }),
    /** Whether the change becomes visible without lag. */
    atOnce: z.boolean(),
  }),
  z.strictObject({ kind: z.literal(ListChangeKind.Leave), id: z.string() }),
  z.strictObject({ kind: z.literal(ListChangeKind.Remove), id: z.string() }),
]);
/** A change to the platform's list of instances and targets. */
export type ListChange = z.infer<typeof listChangeSchema>;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const OBJECTS_PATH = "/objects/";
const WEIGHTS_PATH = "/weights/";
const DEFAULT_SCAN_LIMIT = 1_000;
const MAX_SCAN_LIMIT = 10_000;

const STATUS_BY_OUTCOME: Record<
  Exclude<PlatformOutcome, PlatformOutcome.Lost | PlatformOutcome.Ok>,
  number
> = {
  [PlatformOutcome.Unavailable]: 503,
  [PlatformOutcome.RateLimited]: 429,
};

/** Serves the HTTP interface of the platform from a {@link PlatformModel}. */
export class PlatformServer {
  /** The simulated platform. */
  readonly model: PlatformModel;
  readonly #httpServer: StandinHttpServer;
  readonly #nowMs: NowMs;
  readonly #faultHandlers: KindHandlers<PlatformFault> = {
    [PlatformFaultKind.Down]: ({ on }) => this.model.setDown(on),
    [PlatformFaultKind.Slow]: ({ delayMs }) => this.model.setDelayMs(delayMs),
    [PlatformFaultKind.LoseAnswers]: ({ times }) =>
      this.model.loseAnswers(times),
    [PlatformFaultKind.LoseWrites]: ({ times }) => this.model.loseWrites(times),
  };
  readonly #listChangeHandlers: KindHandlers<ListChange> = {
    [ListChangeKind.Put]: ({ instance, atOnce }) =>
      this.model.instanceList.put(instance, atOnce ? -Infinity : this.#nowMs()),
    [ListChangeKind.Leave]: ({ id }) =>
      this.model.instanceList.markLeaving(id, this.#nowMs()),
    [ListChangeKind.Remove]: ({ id }) =>
      this.model.instanceList.remove(id, this.#nowMs()),
  };

  /** @param options Options of the platform, listen address and clock. */
  constructor(options: PlatformServerOptions) {
    this.model = new PlatformModel(options.platform);
    this.#httpServer = new StandinHttpServer({
      host: options.host,
      port: options.port,
    });
    this.#nowMs = options.nowMs ?? processNowMs;
    this.#addTableRoutes();
    this.#addResourceRoutes();
    this.#addStandinRoutes();
  }

  /**
   * Starts to listen.
   *
   * @returns The address it listens on.
   */
  start(): Promise<ListenAddress> {
    return this.#httpServer.start();
  }

  /** Stops listening and closes every connection at once. */
  stop(): Promise<void> {
    return this.#httpServer.stop();
  }

  /**
   * Injects or ends a fault.
   *
   * @param fault The fault and its parameters.
   */
  setFault(fault: PlatformFault): void {
    handleByKind(this.#faultHandlers, fault);
  }

  /**
   * Changes the instance list; readers see the change after the list's lag.
   *
   * @param change The change.
   */
  changeList(change: ListChange): void {
    handleByKind(this.#listChangeHandlers, change);
  }

  #addTableRoutes(): void {
    this.#httpServer.app
      .post(
        "/table/transact",
        jsonRoute(
          transactRequestSchema,
          (body, response) =>
            sendReply(response, this.model.transact(body, this.#nowMs())),
        ),
      )
      .post(
        "/table/read",
        jsonRoute(
          readRequestSchema,
          (body, response) =>
            sendReply(response, this.model.read(body.keys, this.#nowMs())),
        ),
      )
      .get(
        "/table/scan",
        (request, response) => this.#handleScan(request, response),
      );
  }

  #addResourceRoutes(): void {
    this.#httpServer.app
      .put(
        `${OBJECTS_PATH}*`,
        (request, response) =>
          readBodyText(request, (content) => {
            const key = decodeName(request, OBJECTS_PATH);
            const object = { key, content };
            sendReply(
              response,
              this.model.putObject(object, this.#nowMs()),
              () => sendJson(response, {}),
            );
          }),
      )
      .get(`${OBJECTS_PATH}*`, (request, response) => {
        const key = decodeName(request, OBJECTS_PATH);
        const objectReply = this.model.getObject(key, this.#nowMs());
        sendReply(
          response,
          objectReply,
          (answer) => sendObject(response, answer),
        );
      })
      .get(
        "/instances",
        (_request, response) =>
          sendReply(response, this.model.listInstances(this.#nowMs())),
      )
      .get(`${WEIGHTS_PATH}*`, (request, response) => {
        const name = decodeName(request, WEIGHTS_PATH);
        sendReply(response, this.model.fetchWeights(name, this.#nowMs()));
      });
  }

  #addStandinRoutes(): void {
    this.#httpServer.app
      .get(
        "/standin/counts",
        (_request, response) => sendJson(response, this.model.counts),
      )
      .post(
        "/standin/faults",
        jsonRoute(platformFaultSchema, (fault, response) => {
          this.setFault(fault);
          sendJson(response, {});
        }),
      )
      .post(
        "/standin/instances",
        jsonRoute(listChangeSchema, (change, response) => {
          this.changeList(change);
          sendJson(response, {});
        }),
      );
  }

  #handleScan(request: IncomingMessage, response: ServerResponse): void {
    const query = parseQuery(request);
    const limit = Number(query.get("limit") ?? DEFAULT_SCAN_LIMIT);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_SCAN_LIMIT) {
      sendBadRequest(response, `limit must be from 1 to ${MAX_SCAN_LIMIT}`);
      return;
    }
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const scanReply = this.model.scan({ prefix, after, limit }, this.#nowMs());
    sendReply(response, scanReply);
  }
}

function sendReply<T>(
  response: ServerResponse,
  { outcome, answer, delayMs }: PlatformReply<T>,
  sendAnswer: (answer: T) => void = (body) => sendJson(response, body),
): void {
  const send = () => {
    if (outcome === PlatformOutcome.Ok) {
      sendAnswer(answer as T);
    } else if (outcome === PlatformOutcome.Lost) {
      response.destroy();
    } else {
      sendJson(response, { message: outcome }, {
        status: STATUS_BY_OUTCOME[outcome],
      });
    }
  };
  if (delayMs === 0) {
    send();
    return;
  }
  const timer = setTimeout(send, delayMs);
  response.on("close", () => clearTimeout(timer));
}

function sendObject(response: ServerResponse, { content }: ObjectAnswer): void {
  if (content === undefined) {
    sendJson(response, { message: "no such object" }, {
      status: HTTP_NOT_FOUND,
    });
    return;
  }
  response.writeHead(HTTP_OK, { "content-type": "application/octet-stream" });
  response.end(content);
}

function decodeName(request: IncomingMessage, path: string): string {
  const { pathname } = new URL(request.url ?? "/", "http://localhost");
  const name = pathname.slice(path.length);
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
