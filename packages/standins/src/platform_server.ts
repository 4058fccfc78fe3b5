/** The platform over HTTP on the real clock. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ListedKind,
  readRequestSchema,
  transactRequestSchema,
} from "@chestnuthatch/wire/platform_protocol";
import * as z from "zod";
import {
  HttpHost,
  jsonRoute,
  type ListenAddress,
  type ListenOptions,
  type NowMs,
  processNowMs,
  queryOf,
  readText,
  sendBadRequest,
  sendJson,
} from "./http_host.ts";
import { handleByKind, type KindHandlers } from "./kind_handlers.ts";
import {
  type ObjectAnswer,
  PlatformModel,
  type PlatformModelOptions,
  PlatformOutcome,
  type PlatformReply,
} from "./platform_model.ts";

/** What a platform server is like. */
export interface PlatformServerOptions extends ListenOptions {
  readonly platform: PlatformModelOptions;
  /** The clock; the process's own where absent. */
  readonly nowMs?: NowMs;
}

/** What can be made to go wrong. */
export enum PlatformFaultKind {
  /** Every call is answered with 503. */
  Down = "down",
  /** Every call takes this long. */
  Slow = "slow",
  /** The next writes take effect, but their answer is lost. */
  LoseAnswers = "lose_answers",
  /** The next writes are lost without effect or answer. */
  LoseWrites = "lose_writes",
}

const times = z.number().int().nonnegative();

/** Body of `POST /standin/faults`. */
export const platformFaultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(PlatformFaultKind.Down),
    on: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(PlatformFaultKind.Slow),
    delayMs: z.number().nonnegative(),
  }),
  z.strictObject({ kind: z.literal(PlatformFaultKind.LoseAnswers), times }),
  z.strictObject({ kind: z.literal(PlatformFaultKind.LoseWrites), times }),
]);
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** What can change on the list. */
export enum ListChangeKind {
  Put = "put",
  Leave = "leave",
  Remove = "remove",
}

/** Body of `POST /standin/instances`. */
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
    /** Shows the change without lag. */
    atOnce: z.boolean(),
  }),
  z.strictObject({ kind: z.literal(ListChangeKind.Leave), id: z.string() }),
  z.strictObject({ kind: z.literal(ListChangeKind.Remove), id: z.string() }),
]);
export type ListChange = z.infer<typeof listChangeSchema>;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const OBJECTS_PATH = "/objects/";
const WEIGHTS_PATH = "/weights/";
const DEFAULT_SCAN_LIMIT = 1_000;
const MAX_SCAN_LIMIT = 10_000;

const STATUS_OF: Record<
  Exclude<PlatformOutcome, PlatformOutcome.Lost | PlatformOutcome.Ok>,
  number
> = {
  [PlatformOutcome.Unavailable]: 503,
  [PlatformOutcome.RateLimited]: 429,
};

/** Serves a {@link PlatformModel}. */
export class PlatformServer {
  /** The platform behind the server. */
  readonly model: PlatformModel;
  readonly #host: HttpHost;
  readonly #nowMs: NowMs;
  readonly #faultHandlers: KindHandlers<PlatformFault> = {
    [PlatformFaultKind.Down]: ({ on }) => this.model.setDown(on),
    [PlatformFaultKind.Slow]: ({ delayMs }) => this.model.setDelay(delayMs),
    [PlatformFaultKind.LoseAnswers]: ({ times }) =>
      this.model.loseAnswers(times),
    [PlatformFaultKind.LoseWrites]: ({ times }) => this.model.loseWrites(times),
  };
  readonly #listHandlers: KindHandlers<ListChange> = {
    [ListChangeKind.Put]: ({ instance, atOnce }) =>
      this.model.list.put(instance, atOnce ? -Infinity : this.#nowMs()),
    [ListChangeKind.Leave]: ({ id }) =>
      this.model.list.markLeaving(id, this.#nowMs()),
    [ListChangeKind.Remove]: ({ id }) =>
      this.model.list.remove(id, this.#nowMs()),
  };

  /** @param options What the server is like. */
  constructor(options: PlatformServerOptions) {
    this.model = new PlatformModel(options.platform);
    this.#host = new HttpHost({ host: options.host, port: options.port });
    this.#nowMs = options.nowMs ?? processNowMs;
    this.#addTableRoutes();
    this.#addOtherRoutes();
    this.#addStandinRoutes();
  }

  /**
   * Starts to listen.
   *
   * @returns Where it listens.
   */
  start(): Promise<ListenAddress> {
    return this.#host.start();
  }

  /** Stops the server and cuts every connection. */
  stop(): Promise<void> {
    return this.#host.stop();
  }

  /**
   * Switches a fault.
   *
   * @param fault The fault.
   */
  setFault(fault: PlatformFault): void {
    handleByKind(this.#faultHandlers, fault);
  }

  /**
   * Changes the list; the change shows after the list's lag.
   *
   * @param change The change.
   */
  changeList(change: ListChange): void {
    handleByKind(this.#listHandlers, change);
  }

  #addTableRoutes(): void {
    this.#host.app
      .post(
        "/table/transact",
        jsonRoute(
          transactRequestSchema,
          (body, response) =>
            reply(response, this.model.transact(body, this.#nowMs())),
        ),
      )
      .post(
        "/table/read",
        jsonRoute(
          readRequestSchema,
          (body, response) =>
            reply(response, this.model.read(body.keys, this.#nowMs())),
        ),
      )
      .get("/table/scan", (request, response) => this.#scan(request, response));
  }

  #addOtherRoutes(): void {
    this.#host.app
      .put(
        `${OBJECTS_PATH}*`,
        (request, response) =>
          readText(request, (content) => {
            const key = nameIn(request, OBJECTS_PATH);
            const object = { key, content };
            reply(
              response,
              this.model.putObject(object, this.#nowMs()),
              () => sendJson(response, {}),
            );
          }),
      )
      .get(`${OBJECTS_PATH}*`, (request, response) => {
        const key = nameIn(request, OBJECTS_PATH);
        const got = this.model.getObject(key, this.#nowMs());
        reply(response, got, (answer) => sendObject(response, answer));
      })
      .get(
        "/instances",
        (_request, response) =>
          reply(response, this.model.instances(this.#nowMs())),
      )
      .get(`${WEIGHTS_PATH}*`, (request, response) => {
        const name = nameIn(request, WEIGHTS_PATH);
        reply(response, this.model.weights(name, this.#nowMs()));
      });
  }

  #addStandinRoutes(): void {
    this.#host.app
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

  #scan(request: IncomingMessage, response: ServerResponse): void {
    const query = queryOf(request);
    const limit = Number(query.get("limit") ?? DEFAULT_SCAN_LIMIT);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_SCAN_LIMIT) {
      sendBadRequest(response, `limit must be from 1 to ${MAX_SCAN_LIMIT}`);
      return;
    }
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const scanned = this.model.scan({ prefix, after, limit }, this.#nowMs());
    reply(response, scanned);
  }
}

function reply<T>(
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
      sendJson(response, { message: outcome }, { status: STATUS_OF[outcome] });
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

function nameIn(request: IncomingMessage, path: string): string {
  const { pathname } = new URL(request.url ?? "/", "http://localhost");
  const name = pathname.slice(path.length);
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
