/** Ends a gateway's process when it is asked to. */

import process from "node:process";
import type { Gateway } from "./gateway.ts";

const EXIT_STOPPED = 0;
const EXIT_CANNOT_STOP = 1;

/**
 * Stops a gateway and its process on the usual signals, and on no error.
 *
 * @param gateway The gateway.
 */
export function stopOnSignals(gateway: Gateway): void {
  const stop = () => {
    void gateway.stop().then(
      () => process.exit(EXIT_STOPPED),
      (error) => {
        gateway.cannotStop(error);
        process.exit(EXIT_CANNOT_STOP);
      },
    );
  };
  process.on("uncaughtException", (error) => gateway.unexpected(error));
  process.on("unhandledRejection", (error) => gateway.unexpected(error));
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}
