/** How a process is told to accept narrow connections. */

/** Variable that says how many bytes a second each connection takes. */
export const WRITE_RATE_VARIABLE = "SOAK_WRITE_BYTES_PER_S";
