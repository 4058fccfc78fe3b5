/** Runs command lines against an embedded fleet with stand-ins. */

import { randomUUID } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setImmediate, setTimeout as wait } from "node:timers/promises";
import { runCommandLine } from "@chestnuthatch/cli/command_line";
import { EmbeddedFleet, readExample } from "@chestnuthatch/cli/embedded_fleet";
import { ExitCode } from "@chestnuthatch/cli/exit_code";
import { PlatformFaultKind } from "@chestnuthatch/standins/platform_server";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Exit code and output of one command line. */
interface CommandResult {
  readonly exitCode: ExitCode;
  readonly out: string;
  readonly err: string;
}

const POLL_MS = 20;
const MAX_POLLS = 1500;
const UNUSED_ADDRESS = "127.0.0.1:1";
const SETTINGS_FAULTS_URL = new URL(
  "../golden/settings_faults/",
  import.meta.url,
);
const POOL_FLAGS = ["--pool", "msaidizi", "--workspace", "meru-plots"];
const AUTHOR_FLAGS = ["--author", "neema"];

let fleet: EmbeddedFleet;
let folder: string;

async function run(...args: string[]): Promise<CommandResult> {
  const output = { out: "", err: "" };
  const exitCode = await runCommandLine(args, {
    output: {
      out: (text) => output.out += text,
      err: (text) => output.err += text,
    },
    sleep: async () => {
      await setImmediate();
    },
    newId: randomUUID,
  });
  return { exitCode, ...output };
}

/** Runs a command line against the fleet's platform. */
function runOnPlatform(...args: string[]): Promise<CommandResult> {
  return run(...args, "--platform", fleet.standins.platformAddress);
}

/** Runs a command line against all entry instances of the fleet. */
function runOnFleet(...args: string[]): Promise<CommandResult> {
  return run(...args, "--instance", fleet.callerAddresses.join(","));
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls++) {
    if (await condition()) {
      return;
    }
    await wait(POLL_MS);
  }
  assert.unreachable("the condition did not hold in time");
}

function waitUntilSettingsInForce(): Promise<void> {
  const { platformAddress } = fleet.standins;
  return waitUntil(async () => {
    const args = ["settings", "status", "--platform", platformAddress];
    return (await runOnFleet(...args)).exitCode === ExitCode.Done;
  });
}

async function readCurrentVersion(): Promise<number> {
  const { out } = await runOnPlatform("settings", "show", "--json");
  return JSON.parse(out).version;
}

/** Writes the current settings with another deadline for the routine tier. */
async function writeEditedSettings(
  name: string,
  deadlineMs: number,
): Promise<string> {
  const { out } = await runOnPlatform("settings", "show");
  const path = join(folder, name);
  const pattern = /(rank: 2\n\s+value: 1\n\s+deadlineMs: )\d+/;
  assert.match(out, pattern);
  writeFileSync(path, out.replace(pattern, `$1${deadlineMs}`));
  return path;
}

/** Proposes a settings file on top of a base version. */
function propose(
  file: string,
  base: number,
  ...more: string[]
): Promise<CommandResult> {
  return runOnPlatform(
    ...["settings", "propose", file, "--base", String(base)],
    ...[...AUTHOR_FLAGS, "--note", "a test", ...more],
  );
}

/** Sends a request to one entry instance and expects an answer. */
async function sendRequestTo(instanceId: string) {
  const { callerAddress } = fleet.instances.get(instanceId)!;
  const result = await run(
    ...["send", ...POOL_FLAGS, "--tier", "urgent", "--json"],
    ...["--body", "A mower is stuck. [output=4]", "--instance", callerAddress],
  );
  assert.is(result.exitCode, ExitCode.Done, result.out);
  return JSON.parse(result.out);
}

async function readFleetStatus() {
  const { platformAddress } = fleet.standins;
  const result = await runOnFleet(
    "status",
    "--json",
    "--platform",
    platformAddress,
  );
  return JSON.parse(result.out);
}

test.before(async () => {
  folder = mkdtempSync(join(tmpdir(), "chestnuthatch-cli-"));
  fleet = await EmbeddedFleet.start({
    deployment: "shamba-safi",
    instances: 5,
  });
  await waitUntilSettingsInForce();
});

test.after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true });
});

test("should report every fault of a file with its path and line", async () => {
  const file = new URL("broken.yaml", SETTINGS_FAULTS_URL).pathname;
  const { exitCode, err } = await run("settings", "check", file);
  assert.is(exitCode, ExitCode.BadInput);
  const golden = readFileSync(
    new URL("faults.txt", SETTINGS_FAULTS_URL),
    "utf8",
  );
  for (const line of golden.trim().split("\n")) {
    assert.ok(err.includes(line), line);
  }
  const validFile = join(folder, "sound.yaml");
  writeFileSync(validFile, readExample("sunu-registrs"));
  const checked = await run("settings", "check", validFile);
  assert.is(checked.exitCode, ExitCode.Done, checked.err);
});

test("should name missing or malformed options and print help", async () => {
  const noPlatform = await run("settings", "show");
  assert.is(noPlatform.exitCode, ExitCode.BadInput);
  assert.match(noPlatform.err, "CHESTNUTHATCH_PLATFORM");
  const badAddress = await run("status", "--instance", "nowhere");
  assert.is(badAddress.exitCode, ExitCode.BadInput);
  const help = await run("drain", "--help");
  assert.is(help.exitCode, ExitCode.Done);
  assert.match(help.out, "Examples:");
});

test("should explain values and suggest names", async () => {
  const scope = ["--region", "arusha", "--workspace", "arusha-clinics"];
  const explained = await runOnPlatform(
    ...["settings", "explain", ...scope, "--tier", "urgent"],
  );
  assert.match(explained.out, "value = 30 from workspaces.arusha-clinics");
  const mistyped = await runOnPlatform(
    ...["settings", "explain", ...scope, "--tier", "urgnt"],
  );
  assert.is(mistyped.exitCode, ExitCode.BadInput);
  assert.match(mistyped.err, 'Did you mean "urgent"?');
});

test("should change nothing in a dry run", async () => {
  const base = await readCurrentVersion();
  const file = await writeEditedSettings("dry.yaml", 16_001);
  const { exitCode, out } = await propose(file, base, "--dry-run");
  assert.is(exitCode, ExitCode.Done);
  assert.match(out, "tiers.routine.deadlineMs");
  assert.is(await readCurrentVersion(), base);
});

test("should let one of two racing operators win", async () => {
  const base = await readCurrentVersion();
  const files = [
    await writeEditedSettings("one.yaml", 16_002),
    await writeEditedSettings("two.yaml", 16_003),
  ];
  const results = await Promise.all(files.map((file) => propose(file, base)));
  assert.equal(results.map(({ exitCode }) => exitCode).sort(), [
    ExitCode.Done,
    ExitCode.Failed,
  ]);
  const winner = results.findIndex(({ exitCode }) =>
    exitCode === ExitCode.Done
  );
  const { err } = results[1 - winner];
  const deadlineMs = [16_002, 16_003][winner];
  assert.match(err, `~ tiers.routine.deadlineMs: 15000 -> ${deadlineMs}`);
  assert.match(err, `--base ${base + 1}`);
  assert.is(await readCurrentVersion(), base + 1);
  const stale = await propose(files[1 - winner], base);
  assert.is(stale.exitCode, ExitCode.Failed);
  assert.match(stale.err, `-> ${deadlineMs}`);
});

test("should commit once when an answer or a write is lost", async () => {
  const { platform } = fleet.standins;
  const base = await readCurrentVersion();
  platform.setFault({ kind: PlatformFaultKind.LoseAnswers, times: 1 });
  const lostAnswer = await propose(
    await writeEditedSettings("a.yaml", 16_004),
    base,
  );
  assert.is(lostAnswer.exitCode, ExitCode.Done, lostAnswer.err);
  assert.ok(platform.model.counts.answersLost > 0);
  platform.setFault({ kind: PlatformFaultKind.LoseWrites, times: 1 });
  const file = await writeEditedSettings("b.yaml", 16_005);
  const lostWrite = await propose(file, base + 1);
  assert.is(lostWrite.exitCode, ExitCode.Done, lostWrite.err);
  assert.is(await readCurrentVersion(), base + 2);
});

test("should report an unknown outcome as unknown", async () => {
  const { platform } = fleet.standins;
  const base = await readCurrentVersion();
  const file = await writeEditedSettings("c.yaml", 16_006);
  platform.setFault({ kind: PlatformFaultKind.LoseWrites, times: 1000 });
  const { exitCode, out } = await propose(file, base, "--json");
  platform.setFault({ kind: PlatformFaultKind.LoseWrites, times: 0 });
  assert.is(exitCode, ExitCode.OutcomeUnknown);
  assert.ok(JSON.parse(out).changeId);
  platform.setFault({ kind: PlatformFaultKind.Down, on: true });
  const down = await propose(file, base);
  platform.setFault({ kind: PlatformFaultKind.Down, on: false });
  assert.is(down.exitCode, ExitCode.Failed);
  assert.match(down.err, "nothing was changed");
});

test("should list, compare and revert versions", async () => {
  const newest = await readCurrentVersion();
  const listed = await runOnPlatform("settings", "history", "--json");
  const versions: { version: number }[] = JSON.parse(listed.out);
  assert.equal(
    versions.map((each) => each.version),
    Array.from({ length: newest }, (_, i) => newest - i),
  );
  const reverted = await runOnPlatform(
    "settings",
    "revert",
    "1",
    ...AUTHOR_FLAGS,
  );
  assert.is(reverted.exitCode, ExitCode.Done, reverted.err);
  assert.match(reverted.out, "-> 15000");
  const same = await runOnPlatform("settings", "diff", "1", String(newest + 1));
  assert.match(same.out, "0 differences");
  const unknown = await runOnPlatform(
    "settings",
    "revert",
    "99",
    ...AUTHOR_FLAGS,
  );
  assert.is(unknown.exitCode, ExitCode.BadInput);
});

test("should merge the status of instances and list unreachable ones", async () => {
  await waitUntilSettingsInForce();
  const ids = [...fleet.instances.keys()].sort();
  const status = await readFleetStatus();
  assert.equal(
    status.instances.map((each: { instanceId: string }) => each.instanceId),
    ids,
  );
  assert.equal(status.versions, [
    { version: await readCurrentVersion(), instanceIds: ids },
  ]);
  const one = await run(
    ...["status", "--json", "--instance", fleet.callerAddresses[0]],
    ...["--instance", UNUSED_ADDRESS],
  );
  const { instances, silent } = JSON.parse(one.out);
  assert.is(instances.length, ids.length);
  assert.is(silent[0].address, UNUSED_ADDRESS);
  const withoutInstances = await run(
    ...["settings", "status", "--instance", UNUSED_ADDRESS],
  );
  assert.is(withoutInstances.exitCode, ExitCode.Failed);
});

test("should explain a request with the steps of every instance involved", async () => {
  const holders = ["njiro-hall-entry-1", "njiro-hall-entry-2"];
  const participants = new Set<string>();
  for (const holder of holders) {
    const { requestId, targetId } = await sendRequestTo(holder);
    const result = await runOnFleet("why", requestId, "--json");
    assert.is(result.exitCode, ExitCode.Done, result.out);
    const explanation = JSON.parse(result.out);
    assert.is(explanation.holderId, holder);
    assert.is(explanation.holder.outcome.targetId, targetId);
    const steps: { instanceId: string; text: string }[] = explanation.steps;
    assert.match(steps[0].text, "Received");
    assert.match(steps.at(-1)!.text, "Answered");
    participants.add([...new Set(steps.map((step) => step.instanceId))].join());
  }
  assert.ok(
    [...participants].some((ids) => ids.includes(",")),
    [...participants].join(),
  );
  const unknown = await runOnFleet("why", "no-such-request");
  assert.is(unknown.exitCode, ExitCode.Failed);
  const incomplete = await runOnFleet(
    "why",
    "none",
    "--instance",
    UNUSED_ADDRESS,
  );
  assert.is(incomplete.exitCode, ExitCode.OutcomeUnknown);
});

test("should stream an answer and report refusals", async () => {
  const sent = await runOnFleet(
    ...["send", ...POOL_FLAGS, "--tier", "urgent", "--stream"],
    ...["--body", "Which blade? [output=3]"],
  );
  assert.is(sent.exitCode, ExitCode.Done, sent.err);
  assert.match(sent.out, "Which blade?");
  assert.match(sent.out, "3 tokens");
  const refused = await runOnFleet(
    ...["send", ...POOL_FLAGS, "--tier", "none", "--body", "x", "--stream"],
  );
  assert.is(refused.exitCode, ExitCode.BadInput);
  assert.match(refused.err, "unknown_tier");
  const unreachable = await run(
    ...["send", ...POOL_FLAGS, "--tier", "urgent", "--body", "x"],
    ...["--instance", UNUSED_ADDRESS],
  );
  assert.is(unreachable.exitCode, ExitCode.Failed);
  assert.match(unreachable.err, "nothing was sent");
});

test("should generate load and count its outcomes", async () => {
  const { exitCode, out } = await runOnFleet(
    ...["load", "--standins", "--seconds", "1", "--rate", "8", "--json"],
    ...["--mix", "season-plan=0", "--mix", "fault-note=0"],
  );
  assert.is(exitCode, ExitCode.Done, out);
  const { rows, promisesBroken } = JSON.parse(out);
  assert.equal(promisesBroken, []);
  assert.ok(rows.length > 0);
  for (const { sent, answered, refused } of rows) {
    const refusals = Object.values<number>(refused);
    assert.is(answered + refusals.reduce((sum, n) => sum + n, 0), sent);
  }
  const wrong = await runOnFleet("load", "--mix", "fee-question=1");
  assert.is(wrong.exitCode, ExitCode.BadInput);
});

test("should give a drained target no new work until undone", async () => {
  const drain = ["drain", "target", "msaidizi-1", ...AUTHOR_FLAGS];
  const drained = await runOnPlatform(...drain);
  assert.is(drained.exitCode, ExitCode.Done, drained.err);
  await waitUntilSettingsInForce();
  const before = countTargetRuns("msaidizi-1");
  for (const { instanceId } of (await readFleetStatus()).instances) {
    const { targetId } = await sendRequestTo(instanceId);
    assert.is.not(targetId, "msaidizi-1");
  }
  assert.is(countTargetRuns("msaidizi-1"), before);
  const target = (await readFleetStatus()).targets
    .find((each: { targetId: string }) => each.targetId === "msaidizi-1");
  assert.is(target.draining, true);
  const base = await readCurrentVersion();
  const again = await runOnPlatform(...drain, "--json");
  assert.is(JSON.parse(again.out).changed, false);
  assert.is(await readCurrentVersion(), base);
  const undone = await runOnPlatform(...drain, "--undo");
  assert.is(undone.exitCode, ExitCode.Done, undone.err);
  const unknown = await runOnPlatform(
    "drain",
    "target",
    "msaidzi-1",
    ...AUTHOR_FLAGS,
  );
  assert.is(unknown.exitCode, ExitCode.BadInput);
});

test("should drain instances when operators race", async () => {
  const ids = ["tengeru-entry-1", "usa-river-entry-1"];
  const results = await Promise.all(
    ids.map((id) => runOnPlatform("drain", "instance", id, ...AUTHOR_FLAGS)),
  );
  assert.equal(results.map(({ exitCode }) => exitCode), [0, 0]);
  await waitUntilSettingsInForce();
  const { instances } = await readFleetStatus();
  const notReady = instances
    .filter((each: { ready: boolean }) => !each.ready)
    .map((each: { instanceId: string }) => each.instanceId);
  assert.equal(notReady, ids);
});

for (
  const [targetId, checksFencing] of [
    ["msaidizi-1", true],
    ["msaidizi-2", false],
  ] as const
) {
  test(`should send orders to an engine, fencing checked: ${checksFencing}`, async () => {
    const order = (value: string) =>
      runOnPlatform(
        "order",
        targetId,
        "load-adapter",
        value,
        ...AUTHOR_FLAGS,
        "--json",
      );
    const first = await order("mowing-1");
    assert.is(first.exitCode, ExitCode.Done, first.out);
    const second = JSON.parse((await order("mowing-2")).out);
    assert.is(second.after.adapter, "mowing-2");
    assert.is(second.checksFencing, checksFencing);
    assert.is(second.fencingNumber, 2);
    const engine = fleet.standins.engines.get(targetId)!.model;
    assert.is(engine.state().lastOrderId, second.orderId);
  });
}

test("should send orders to engines only", async () => {
  const service = await runOnPlatform(
    ...["order", "kazi-desk-1", "set-role", "x", ...AUTHOR_FLAGS],
  );
  assert.is(service.exitCode, ExitCode.BadInput);
});

function countTargetRuns(targetId: string): number {
  const { model } = fleet.standins.engines.get(targetId)!;
  return model.counts.dispatchesByRequestId.size;
}

test.run();
