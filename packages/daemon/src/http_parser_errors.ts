/** Refusals for bytes that the HTTP parser could not parse as a request. */

import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import type { Refusal } from "@chestnuthatch/core/request";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import { refusalReply } from "./caller_reply.ts";
import type { EdgeFault } from "./edge_refusal.ts";

const FAULT_BY_ERROR_CODE: Readonly<Record<string, EdgeFault>> = {
  HPE_HEADER_OVERFLOW: {
    error: ErrorKind.HeadersTooLarge,
    message: "The headers are larger than this instance takes.",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    error: ErrorKind.SlowCaller,
    message: "The headers did not come in time.",
  },
};

const DEFAULT_FAULT: EdgeFault = {
  error: ErrorKind.BadRequest,
  message: "The bytes are not an HTTP request.",
};

/**
 * Maps an error code of the HTTP parser to the fault to send.
 *
 * @param errorCode Error code, such as `HPE_HEADER_OVERFLOW`.
 * @returns The fault; a general one for unknown codes.
 */
export function faultForErrorCode(errorCode: string | undefined): EdgeFault {
  return FAULT_BY_ERROR_CODE[errorCode ?? ""] ?? DEFAULT_FAULT;
}

/**
 * Writes a refusal directly to a connection and closes it.
 *
 * @param socket Connection on which no response has been started.
 * @param refusal Refusal to send.
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
