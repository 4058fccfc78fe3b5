/** What callers and operators may read of an instance over HTTP. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import {
  jsonReply,
  refusalReply,
  sendReply,
  type WholeReply,
  wholeReply,
} from "./caller_reply.ts";
import { edgeRefusal } from "./edge_refusal.ts";

/** Whether the instance takes requests. */
export interface Readiness {
  readonly ready: boolean;
  /** Why not; empty when ready. */
  readonly reasons: readonly string[];
}

/** Metrics in the form that a scraper reads. */
export interface MetricsPage {
  readonly contentType: string;
  readonly text: string;
}

/** Where the routes get what they tell. Objects are sent as JSON. */
export interface InstanceReads {
  readiness(): Readiness;
  /** The state of a request, or nothing where the instance knows none. */
  requestState(requestId: string): object | undefined;
  /** A request's story, or nothing where it is not remembered. */
  why(requestId: string): object | undefined;
  status(): object;
  metrics(): Promise<MetricsPage>;
}

/** An HTTP request with the parameters of its route. */
export type RoutedRequest = IncomingMessage & {
  readonly params: Readonly<Record<string, string>>;
};

type ReadHandler = (
  reads: InstanceReads,
  requestId: string,
) => WholeReply | Promise<WholeReply>;

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

/** Route patterns and what answers them. */
export const READ_ROUTES: Readonly<Record<string, ReadHandler>> = {
  "/healthz": () => jsonReply(OK_STATUS, { status: "ok" }),
  "/readyz": (reads) => readinessReply(reads.readiness()),
  "/metrics": async (reads) => metricsReply(await reads.metrics()),
  "/v1/status": (reads) => jsonReply(OK_STATUS, reads.status()),
  "/v1/requests/:id": (reads, id) => foundReply(id, reads.requestState(id)),
  "/v1/why/:id": (reads, id) => foundReply(id, reads.why(id)),
};

/**
 * Answers one read.
 *
 * @param handler The route's handler.
 * @param reads Where it gets what it tells.
 * @param exchange The HTTP request and response.
 */
export async function answerRead(
  handler: ReadHandler,
  reads: InstanceReads,
  exchange: { request: RoutedRequest; response: ServerResponse },
): Promise<void> {
  const requestId = exchange.request.params?.id ?? "";
  sendReply(exchange.response, await handler(reads, requestId));
}

function readinessReply(readiness: Readiness): WholeReply {
  return jsonReply(readiness.ready ? OK_STATUS : UNAVAILABLE_STATUS, readiness);
}

function metricsReply(page: MetricsPage): WholeReply {
  return wholeReply(OK_STATUS, {
    body: page.text,
    headers: { "content-type": page.contentType },
  });
}

function foundReply(requestId: string, found: object | undefined): WholeReply {
  if (found !== undefined) {
    return jsonReply(OK_STATUS, found);
  }
  return refusalReply(edgeRefusal(requestId, {
    error: ErrorKind.UnknownRequest,
    message: "This instance knows no such request.",
  }));
}
