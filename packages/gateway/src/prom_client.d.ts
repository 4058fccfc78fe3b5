/**
 * Types of those modules of `prom-client` that are imported one by one. Its
 * main module also loads the push gateway and the default metrics, and with
 * them HTTPS and cryptography, which take a seventh of the processor time of an
 * instance's start.
 */

declare module "prom-client/lib/counter.js" {
  export { Counter as default } from "prom-client";
}

declare module "prom-client/lib/gauge.js" {
  export { Gauge as default } from "prom-client";
}

declare module "prom-client/lib/histogram.js" {
  export { Histogram as default } from "prom-client";
}

declare module "prom-client/lib/registry.js" {
  export { Registry as default } from "prom-client";
}
