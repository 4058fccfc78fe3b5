/** Refusals that the callers' edge decides on without the core. */

import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Refusal } from "@chestnuthatch/core/request";
import type { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** Reason for a refusal by the callers' edge. */
export interface EdgeFault {
  readonly error: ErrorKind;
  /** Sentence that names the fault; the hint of the error table follows it. */
  readonly message: string;
  /** Path of the invalid field of the body. */
  readonly path?: string;
  /** Retry delay; sent only if the error table allows a retry. */
  readonly retryAfterMs?: number;
  /** Whether the request may have run, if the error table's value is wrong. */
  readonly ran?: RunState;
}

/**
 * Creates a refusal from a fault and the error table.
 *
 * @param requestId Id given to the refused call.
 * @param fault Reason for the refusal.
 * @returns The refusal to send.
 */
export function edgeRefusal(requestId: string, fault: EdgeFault): Refusal {
  const tableEntry = ERROR_TABLE[fault.error];
  return {
    requestId,
    error: fault.error,
    ran: fault.ran ?? tableEntry.defaultRun,
    message: `${fault.message} ${tableEntry.hint}`,
    path: fault.path,
    mayRetry: tableEntry.mayRetry,
    retryAfterMs: tableEntry.mayRetry ? fault.retryAfterMs : undefined,
    callLog: [`The callers' edge refused it: ${fault.error}.`],
  };
}
