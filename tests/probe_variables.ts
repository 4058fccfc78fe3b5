/** Environment variables of the modules that instances' processes load first. */

/** Variable with the rate of each accepted connection in bytes per second. */
export const WRITE_RATE_VARIABLE = "SOAK_WRITE_BYTES_PER_S";

/** Variable with the `ip:port` of the store. */
export const STORE_ADDRESS_VARIABLE = "SOAK_STORE_ADDRESS";
