/** Heap that a scheduler core uses per request, ask, member and target. */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type CoreEvent, EventKind } from "@chestnuthatch/core/events";
import { PrefixIndex } from "@chestnuthatch/core/prefix_index";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { createScaledPlan } from "./scaled_plan.ts";

/** Bytes of heap for one item of each kind. */
export interface MemoryCosts {
  readonly heldRequestBytes: number;
  readonly waitingAskBytes: number;
  readonly memberBytes: number;
  readonly targetBytes: number;
  /** Bytes for one block hash in a prefix index. */
  readonly prefixBlockBytes: number;
}

const HELD_REQUEST_COUNT = 4000;
const WAITING_ASK_COUNT = 4000;
const MEMBER_COUNT = 2000;
const MIN_TARGET_COUNT = 40;
const MAX_TARGET_COUNT = 1040;
const PREFIX_INDEX_COUNT = 16;
const BLOCKS_PER_INDEX = 8192;
const BLOCKS_PER_PROMPT = 8;
const PROMPT_TOKENS = 640;
const DEADLINE_MS = 200_000;
const POOL = "msaidizi";

/**
 * Measures the heap before and after adding many items of each kind. Garbage is
 * collected before each reading, so that results differ by a few percent only.
 *
 * @returns Bytes of heap for one item of each kind.
 */
export function measureMemory(): MemoryCosts {
  return {
    heldRequestBytes: measureBytesPerItem(
      HELD_REQUEST_COUNT,
      prepareHeldRequests,
    ),
    waitingAskBytes: measureBytesPerItem(WAITING_ASK_COUNT, prepareWaitingAsks),
    memberBytes: measureBytesPerItem(MEMBER_COUNT, prepareMembers),
    targetBytes: measureTargetBytes(),
    prefixBlockBytes: measureBytesPerItem(
      PREFIX_INDEX_COUNT * BLOCKS_PER_INDEX,
      preparePrefixIndexes,
    ),
  };
}

function measureBytesPerItem(
  count: number,
  prepare: () => () => unknown,
): number {
  const fill = prepare();
  const beforeBytes = readHeapBytes();
  const filled = fill();
  const afterBytes = readHeapBytes();
  // The use of `filled` keeps the items alive until after the second reading.
  return filled === undefined ? 0 : (afterBytes - beforeBytes) / count;
}

function prepareHeldRequests(): () => unknown {
  const core = createReadyCore(
    createScaledPlan({ instances: 2, targets: MIN_TARGET_COUNT }),
  );
  // No target has reported its load, so nothing is granted. Requests stay held,
  // and their asks go to a peer that never answers.
  connectPeer(core);
  return () => {
    for (let index = 0; index < HELD_REQUEST_COUNT; index++) {
      core.handle(requestArrivedEvent(index));
    }
    return core;
  };
}

function prepareWaitingAsks(): () => unknown {
  const core = createReadyCore(
    createScaledPlan({ instances: 1, targets: MIN_TARGET_COUNT }),
  );
  return () => {
    for (let index = 0; index < WAITING_ASK_COUNT; index++) {
      core.handle(askReceivedEvent(index));
    }
    return core;
  };
}

function prepareMembers(): () => unknown {
  const core = createReadyCore(
    createScaledPlan({ instances: 1, targets: MIN_TARGET_COUNT }),
  );
  return () => {
    core.handle({
      kind: EventKind.InstanceListRead,
      nowMs: 2,
      list: {
        lagMs: 0,
        instances: Array.from({ length: MEMBER_COUNT }, (_, index) => ({
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

function measureTargetBytes(): number {
  const measureBytes = (targets: number) =>
    measureBytesPerItem(1, () => {
      const plan = createScaledPlan({ instances: 1, targets });
      return () => {
        const core = createReadyCore(plan);
        for (const targetId of plan.settings.targets.keys()) {
          core.handle(loadReportedEvent(targetId));
        }
        return core;
      };
    });
  return (measureBytes(MAX_TARGET_COUNT) - measureBytes(MIN_TARGET_COUNT)) /
    (MAX_TARGET_COUNT - MIN_TARGET_COUNT);
}

function preparePrefixIndexes(): () => unknown {
  return () =>
    Array.from({ length: PREFIX_INDEX_COUNT }, (_, number) => {
      const index = new PrefixIndex();
      const hashes = Array.from(
        { length: BLOCKS_PER_INDEX },
        (_, block) => blockHash(number * BLOCKS_PER_INDEX + block),
      );
      index.store(hashes);
      return index;
    });
}

function createReadyCore(plan: DeploymentPlan): SchedulerCore {
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

function connectPeer(core: SchedulerCore): void {
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

function requestArrivedEvent(index: number): CoreEvent {
  return {
    kind: EventKind.RequestArrived,
    nowMs: 2,
    spec: {
      requestId: `request-${index}`,
      workspace: "arusha-schools",
      tier: "planned",
      pool: POOL,
      promptTokens: PROMPT_TOKENS,
      deadlineMs: DEADLINE_MS,
      idempotencyKey: `key-${index}`,
      stream: false,
      contentHash: blockHash(index),
      blockHashes: promptBlockHashes(index),
    },
  };
}

function askReceivedEvent(index: number): CoreEvent {
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
        timeLeftMs: DEADLINE_MS,
        cancellable: true,
        excludedTargetIds: [],
        spreadOver: 1,
        spreadIndex: 0,
        blockHashes: promptBlockHashes(index),
      },
    },
  };
}

function loadReportedEvent(targetId: string): CoreEvent {
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

function promptBlockHashes(index: number): string[] {
  return Array.from(
    { length: BLOCKS_PER_PROMPT },
    (_, block) => blockHash(index * BLOCKS_PER_PROMPT + block),
  );
}

/** Creates a hash as long as the block hashes in asks. */
function blockHash(index: number): string {
  const base = 36 ** 7;
  return (base + index).toString(36);
}

let collectGarbage: (() => void) | undefined;

function readHeapBytes(): number {
  if (collectGarbage === undefined) {
    setFlagsFromString("--expose-gc");
    collectGarbage = runInNewContext("gc") as () => void;
  }
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
