/** Memory that a core keeps for each thing it knows, by heap differences. */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type CoreEvent, EventKind } from "@chestnuthatch/core/events";
import { PrefixIndex } from "@chestnuthatch/core/prefix_index";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import type { DeploymentPlan } from "./deployments.ts";
import { scaledPlan } from "./scaled_plan.ts";

/** Bytes of heap for one of each. */
export interface MemoryCosts {
  readonly heldRequestBytes: number;
  readonly waitingAskBytes: number;
  readonly memberBytes: number;
  readonly targetBytes: number;
  readonly prefixBlockBytes: number;
}

const HELD_REQUESTS = 4000;
const WAITING_ASKS = 4000;
const MEMBERS = 2000;
const FEW_TARGETS = 40;
const MANY_TARGETS = 1040;
const PREFIX_INDEXES = 16;
const BLOCKS_PER_INDEX = 8192;
const BLOCKS_PER_PROMPT = 8;
const PROMPT_TOKENS = 640;
const LONG_MS = 200_000;
const POOL = "msaidizi";

/**
 * Measures memory. Garbage is collected before each reading of the heap, so
 * that figures repeat to a few percent.
 *
 * @returns Bytes for one of each thing.
 */
export function measureMemory(): MemoryCosts {
  return {
    heldRequestBytes: bytesEach(HELD_REQUESTS, holdRequests),
    waitingAskBytes: bytesEach(WAITING_ASKS, queueAsks),
    memberBytes: bytesEach(MEMBERS, listMembers),
    targetBytes: targetBytes(),
    prefixBlockBytes: bytesEach(
      PREFIX_INDEXES * BLOCKS_PER_INDEX,
      fillPrefixIndexes,
    ),
  };
}

function bytesEach(count: number, fill: () => () => unknown): number {
  const run = fill();
  const beforeBytes = heapBytes();
  const kept = run();
  const afterBytes = heapBytes();
  // Keeps what was filled alive until after the reading.
  return kept === undefined ? 0 : (afterBytes - beforeBytes) / count;
}

function holdRequests(): () => unknown {
  const core = readyCore(scaledPlan({ instances: 2, targets: FEW_TARGETS }));
  // With every target silent nothing is granted: requests stay held, and the
  // asks go to a peer that never answers.
  hearPeer(core);
  return () => {
    for (let index = 0; index < HELD_REQUESTS; index++) {
      core.handle(requestArrived(index));
    }
    return core;
  };
}

function queueAsks(): () => unknown {
  const core = readyCore(scaledPlan({ instances: 1, targets: FEW_TARGETS }));
  return () => {
    for (let index = 0; index < WAITING_ASKS; index++) {
      core.handle(askReceived(index));
    }
    return core;
  };
}

function listMembers(): () => unknown {
  const core = readyCore(scaledPlan({ instances: 1, targets: FEW_TARGETS }));
  return () => {
    core.handle({
      kind: EventKind.InstanceListRead,
      nowMs: 2,
      list: {
        lagMs: 0,
        instances: Array.from({ length: MEMBERS }, (_, index) => ({
          id: `entry-${index + 2}`,
          kind: ListedKind.Entry,
          failureDomain: "njiro-hall",
          address: `127.2.${index >> 8}.${index & 255}:8100`,
          leaving: false,
        })),
      },
    });
    return core;
  };
}

function targetBytes(): number {
  const bytesWith = (targets: number) =>
    bytesEach(1, () => {
      const plan = scaledPlan({ instances: 1, targets });
      return () => {
        const core = readyCore(plan);
        for (const targetId of plan.settings.targets.keys()) {
          core.handle(loadReported(targetId));
        }
        return core;
      };
    });
  return (bytesWith(MANY_TARGETS) - bytesWith(FEW_TARGETS)) /
    (MANY_TARGETS - FEW_TARGETS);
}

function fillPrefixIndexes(): () => unknown {
  return () =>
    Array.from({ length: PREFIX_INDEXES }, (_, number) => {
      const index = new PrefixIndex();
      const hashes = Array.from(
        { length: BLOCKS_PER_INDEX },
        (_, block) => hashOf(number * BLOCKS_PER_INDEX + block),
      );
      index.store(hashes);
      return index;
    });
}

function readyCore(plan: DeploymentPlan): SchedulerCore {
  const core = new SchedulerCore({
    instanceId: "entry-1",
    incarnation: 1,
    failureDomain: "njiro-hall",
    region: plan.region,
    seedPeers: [{
      instanceId: "entry-0",
      failureDomain: "njiro-hall",
      address: "127.2.0.0:8100",
    }],
    random: seededRandomSource(1),
  });
  core.handle({
    kind: EventKind.SettingsRead,
    nowMs: 0,
    version: 1,
    content: plan.settingsText,
    changeId: "change-1",
  });
  core.handle({ kind: EventKind.Tick, nowMs: 1 });
  return core;
}

function hearPeer(core: SchedulerCore): void {
  core.handle({ kind: EventKind.PeerConnected, nowMs: 1, peerId: "entry-0" });
  core.handle({
    kind: EventKind.PeerMessageReceived,
    nowMs: 1,
    fromId: "entry-0",
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.Heartbeat,
      members: [{
        instanceId: "entry-0",
        incarnation: 1,
        heartbeat: 1,
        leaving: false,
        settingsVersion: 1,
      }],
    },
  });
}

function requestArrived(index: number): CoreEvent {
  return {
    kind: EventKind.RequestArrived,
    nowMs: 2,
    spec: {
      requestId: `request-${index}`,
      workspace: "arusha-schools",
      tier: "planned",
      pool: POOL,
      promptTokens: PROMPT_TOKENS,
      deadlineMs: LONG_MS,
      idempotencyKey: `key-${index}`,
      stream: false,
      contentHash: hashOf(index),
      blockHashes: promptHashes(index),
    },
  };
}

function askReceived(index: number): CoreEvent {
  return {
    kind: EventKind.PeerMessageReceived,
    nowMs: 2,
    fromId: "entry-0",
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.Ask,
      failureDomain: "njiro-hall",
      holderBeat: 1,
      ask: {
        requestId: `request-${index}`,
        askNumber: 1,
        pool: POOL,
        workspace: "arusha-schools",
        tierRank: 1,
        value: 1,
        promptTokens: PROMPT_TOKENS,
        expectedOutputTokens: 100,
        maxOutputTokens: 200,
        timeLeftMs: LONG_MS,
        cancellable: true,
        excludedTargetIds: [],
        spreadOver: 1,
        spreadIndex: 0,
        blockHashes: promptHashes(index),
      },
    },
  };
}

function loadReported(targetId: string): CoreEvent {
  return {
    kind: EventKind.LoadReported,
    nowMs: 2,
    load: {
      targetId,
      ageMs: 0,
      slotsUsed: 0,
      slotsTotal: 16,
      kvUsedTokens: 0,
      kvTotalTokens: 100_000,
      waitingRequests: 0,
      leaving: false,
    },
  };
}

function promptHashes(index: number): string[] {
  return Array.from(
    { length: BLOCKS_PER_PROMPT },
    (_, block) => hashOf(index * BLOCKS_PER_PROMPT + block),
  );
}

/** As long as the fingerprints that travel with asks. */
function hashOf(index: number): string {
  const base = 36 ** 7;
  return (base + index).toString(36);
}

let collectGarbage: (() => void) | undefined;

function heapBytes(): number {
  if (collectGarbage === undefined) {
    setFlagsFromString("--expose-gc");
    collectGarbage = runInNewContext("gc") as () => void;
  }
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
