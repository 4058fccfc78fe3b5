/** HTTP routes on which callers and operators read the state of an instance. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import {
  type CallerReply,
  createReply,
  jsonReply,
  refusalReply,
  sendReply,
} from "./caller_reply.ts";
import { edgeRefusal } from "./edge_refusal.ts";

/** Whether the instance accepts requests. */
export interface Readiness {
  readonly ready: boolean;
  /** Reasons why it does not; empty if ready. */
  readonly reasons: readonly string[];
}

/** Metrics in the text format that scrapers read. */
export interface MetricsPage {
  readonly contentType: string;
  readonly text: string;
}

/** Source of the data that the read routes send; objects are sent as JSON. */
export interface InstanceReader {
  /** Reads whether the instance accepts requests. */
  readiness(): Readiness;
  /** Reads the state of a request; `undefined` if the request is unknown. */
  requestState(requestId: string): object | undefined;
  /** Explains a request; `undefined` if no decisions are recorded for it. */
  why(requestId: string): object | undefined;
  /** Reads the status of the instance. */
  status(): object;
  /** Reads the current metrics. */
  metrics(): Promise<MetricsPage>;
}

/** An HTTP request with the parameters of its route. */
export type RoutedRequest = IncomingMessage & {
  readonly params: Readonly<Record<string, string>>;
};

type ReadHandler = (
  reader: InstanceReader,
  requestId: string,
) => CallerReply | Promise<CallerReply>;

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

/** Handlers of the read routes, by route pattern. */
export const READ_ROUTES: Readonly<Record<string, ReadHandler>> = {
  "/healthz": () => jsonReply(OK_STATUS, { status: "ok" }),
  "/readyz": (reader) => readinessReply(reader.readiness()),
  "/metrics": async (reader) => metricsReply(await reader.metrics()),
  "/v1/status": (reader) => jsonReply(OK_STATUS, reader.status()),
  "/v1/requests/:id": (reader, id) => lookupReply(id, reader.requestState(id)),
  "/v1/why/:id": (reader, id) => lookupReply(id, reader.why(id)),
};

/**
 * Answers a request to a read route.
 *
 * @param handler Handler of the route.
 * @param reader Source of the data to send.
 * @param exchange HTTP request, and the response to write to.
 */
export async function answerReadRequest(
  handler: ReadHandler,
  reader: InstanceReader,
  exchange: { request: RoutedRequest; response: ServerResponse },
): Promise<void> {
  const requestId = exchange.request.params?.id ?? "";
  sendReply(exchange.response, await handler(reader, requestId));
}

function readinessReply(readiness: Readiness): CallerReply {
  return jsonReply(readiness.ready ? OK_STATUS : UNAVAILABLE_STATUS, readiness);
}

function metricsReply(page: MetricsPage): CallerReply {
  return createReply(OK_STATUS, {
    body: page.text,
    headers: { "content-type": page.contentType },
  });
}

function lookupReply(
  requestId: string,
  found: object | undefined,
): CallerReply {
  if (found !== undefined) {
    return jsonReply(OK_STATUS, found);
  }
  return refusalReply(edgeRefusal(requestId, {
    error: ErrorKind.UnknownRequest,
    message: "This instance knows no such request.",
  }));
}
