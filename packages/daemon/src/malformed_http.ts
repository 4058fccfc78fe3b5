/** Answers bytes that never became an HTTP request. */

import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import type { Refusal } from "@chestnuthatch/core/request";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import { refusalReply } from "./caller_reply.ts";
import type { EdgeFault } from "./edge_refusal.ts";

const FAULTS: Readonly<Record<string, EdgeFault>> = {
  HPE_HEADER_OVERFLOW: {
    error: ErrorKind.HeadersTooLarge,
    message: "The headers are larger than this instance takes.",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    error: ErrorKind.SlowCaller,
    message: "The headers did not come in time.",
  },
};

const OTHER_FAULT: EdgeFault = {
  error: ErrorKind.BadRequest,
  message: "The bytes are not an HTTP request.",
};

/**
 * Tells what is wrong with a connection's bytes.
 *
 * @param errorCode The parser's code.
 * @returns The fault to refuse it with.
 */
export function faultOfHttpError(errorCode: string | undefined): EdgeFault {
  return FAULTS[errorCode ?? ""] ?? OTHER_FAULT;
}

/**
 * Writes a refusal straight to a connection and closes it.
 *
 * @param socket The connection.
 * @param refusal The refusal.
 */
export function refuseConnection(socket: Duplex, refusal: Refusal): void {
  const reply = refusalReply(refusal);
  const headers = { ...reply.headers, connection: "close" };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}`
  );
  const statusLine = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status]}`;
  socket.end([statusLine, ...lines, "", reply.body].join("\r\n"));
}
