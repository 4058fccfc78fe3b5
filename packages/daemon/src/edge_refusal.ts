/** Refusals that the callers' edge makes by itself. */

import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Refusal } from "@chestnuthatch/core/request";
import type { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** Why the edge turns a call away. */
export interface EdgeFault {
  readonly error: ErrorKind;
  readonly message: string;
  readonly path?: string;
  readonly retryAfterMs?: number;
  /** Where it differs from the error table. */
  readonly ran?: RunState;
}

/**
 * Words a refusal by the error table.
 *
 * @param requestId The id given to the call.
 * @param fault Why it is refused.
 * @returns The refusal.
 */
export function edgeRefusal(requestId: string, fault: EdgeFault): Refusal {
  const entry = ERROR_TABLE[fault.error];
  return {
    requestId,
    error: fault.error,
    ran: fault.ran ?? entry.defaultRun,
    message: `${fault.message} ${entry.hint}`,
    path: fault.path,
    mayRetry: entry.mayRetry,
    retryAfterMs: entry.mayRetry ? fault.retryAfterMs : undefined,
    callLog: [`The callers' edge refused it: ${fault.error}.`],
  };
}
