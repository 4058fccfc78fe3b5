/** Schema that validates a configuration received from a peer. */

import * as z from "zod";
import { type FleetConfiguration, RequestKind } from "./fleet_configuration.ts";

const route = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(RequestKind),
  rank: z.number(),
  pools: z.array(z.object({ pool: z.string(), weight: z.number() })),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  longestGapMs: z.number(),
  maxAttempts: z.number(),
  isPublic: z.boolean(),
});

const pool = z.object({
  name: z.string(),
  maxConnections: z.number(),
  engine: z.object({ slots: z.number(), kvCapacityTokens: z.number() })
    .optional(),
});

const workspace = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  rank: z.number().optional(),
  allotment: z.object({
    perS: z.number(),
    burst: z.number(),
    inTokens: z.boolean(),
    plainTokens: z.number(),
  }).optional(),
});

/** The schema of {@link FleetConfiguration}. */
export const fleetConfigurationSchema: z.ZodType<FleetConfiguration> = z.object(
  {
    version: z.number(),
    routes: z.array(route),
    pools: z.array(pool),
    workspaces: z.array(workspace),
    limits: z.object({
      maxHeaderBytes: z.number(),
      maxBodyBytes: z.number(),
      headerTimeoutMs: z.number(),
      idleTimeoutMs: z.number(),
    }),
  },
);
