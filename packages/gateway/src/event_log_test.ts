import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog, LogPart } from "./event_log.ts";

/** Writes more than a pipe buffers, then a text to the standard error. */
const VERBOSE_PROCESS = `
  const { EventLog, LogPart } = await import("./event_log.js");
  let nowMs = 0;
  const log = new EventLog({ nowMs: () => nowMs }, "i1");
  const text = "x".repeat(1000);
  for (let line = 0; line < 2000; line++) {
    nowMs += 10;
    log.info(LogPart.Request, "served", { text });
  }
  log.flush();
  process.stderr.write("served on");
  process.exit(0);
`;

/**
 * Writes lines once its standard input has ended, then the number of errors that
 * nothing handled to the standard error.
 */
const UNREAD_PROCESS = `
  const { EventLog, LogPart } = await import("./event_log.js");
  let errors = 0;
  process.on("uncaughtException", () => errors++);
  const log = new EventLog({ nowMs: () => 0 }, "i1");
  process.stdin.resume().on("end", () => {
    let lines = 0;
    const timer = setInterval(() => {
      log.info(LogPart.Request, "served");
      log.flush();
      lines++;
      if (lines === 20) {
        process.stderr.write(errors + " errors");
        process.exit(0);
      }
    });
  });
`;

function logLines(count: number): { nowMs: () => number; texts: string[] } {
  const texts: string[] = [];
  let nowMs = 0;
  const output = new Writable({
    write(chunk, _encoding, done) {
      texts.push(String(chunk));
      done();
    },
  });
  const log = new EventLog({ nowMs: () => nowMs }, "i1", output);
  for (let line = 0; line < count; line++) {
    log.info(LogPart.Request, "served", { line });
  }
  nowMs = 2000;
  log.warn(LogPart.Process, "last");
  log.flush();
  return { nowMs: () => nowMs, texts };
}

test("lines are JSON, and those beyond the rate limit are counted", () => {
  const all = logLines(500).texts.join("").trimEnd().split("\n")
    .map((text) => JSON.parse(text));
  assert.is(all.length, 301);
  assert.is(all[0].line, 0);
  assert.is(all[0].instance, "i1");
  assert.equal(all.at(-1), {
    atMs: 2000,
    instance: "i1",
    leftOut: 200,
    level: "warn",
    message: "last",
    part: "process",
  });
});

// Guards against the only line on a change of the settings, a start or a stop that
// is dropped behind lines on requests.
test("a line on the process is written beyond the rate limit of others", () => {
  const texts: string[] = [];
  const output = new Writable({
    write(chunk, _encoding, done) {
      texts.push(String(chunk));
      done();
    },
  });
  const log = new EventLog({ nowMs: () => 0 }, "i1", output);
  for (let line = 0; line < 500; line++) {
    log.info(LogPart.Request, "served", { line });
  }
  log.warn(LogPart.Process, "changed settings are invalid");
  log.flush();
  const lines = texts.join("").trimEnd().split("\n");
  assert.is(JSON.parse(lines.at(-1)!).message, "changed settings are invalid");
});

test("a reader that does not read does not block the process", async () => {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", VERBOSE_PROCESS],
    { stdio: ["ignore", "pipe", "pipe"], cwd: import.meta.dirname },
  );
  const [output] = await once(child.stderr, "data");
  assert.is(String(output), "served on");
  child.kill();
});

// Guards against unexpected errors, one for each line, after the reader of the
// log has ended.
test("a reader that has closed the log causes no errors", async () => {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", UNREAD_PROCESS],
    { cwd: import.meta.dirname },
  );
  child.stdout.destroy();
  await once(child.stdout, "close");
  child.stdin.end();
  let text = "";
  child.stderr.on("data", (chunk) => text += String(chunk));
  await once(child, "close");
  assert.is(text, "0 errors");
});

test.run();
