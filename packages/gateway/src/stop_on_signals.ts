/** Graceful end of a gateway's process on SIGTERM and SIGINT. */

import process from "node:process";
import type { Gateway } from "./gateway.ts";

const EXIT_STOPPED = 0;
const EXIT_CANNOT_STOP = 1;

/**
 * Installs the process's handlers: SIGTERM and SIGINT stop the gateway and end
 * the process; unhandled errors are logged, and the process continues.
 *
 * @param gateway The gateway of this process.
 */
export function stopOnSignals(gateway: Gateway): void {
  const stop = () => {
    void gateway.stop().then(
      () => process.exit(EXIT_STOPPED),
      (error) => {
        gateway.logStopFailure(error);
        process.exit(EXIT_CANNOT_STOP);
      },
    );
  };
  process.on("uncaughtException", (error) => gateway.logUnexpectedError(error));
  process.on(
    "unhandledRejection",
    (error) => gateway.logUnexpectedError(error),
  );
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}
