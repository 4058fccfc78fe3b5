/** The environment variable that limits the write rate of an instance. */

/** Variable with the rate of each accepted connection in bytes per second. */
export const WRITE_RATE_VARIABLE = "SOAK_WRITE_BYTES_PER_S";
