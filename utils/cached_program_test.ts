import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const CACHED_PROGRAM = fileURLToPath(
  new URL("./cached_program.js", import.meta.url),
);

/** Runs a program as the deployed one is run, and returns how it ended. */
function runProgram(program: string) {
  const folder = mkdtempSync(join(tmpdir(), "cached-"));
  try {
    writeFileSync(join(folder, "chestnuthatch-platform.cjs"), program);
    const main = join(folder, "main.js");
    symlinkSync(CACHED_PROGRAM, main);
    const { status, signal, stderr } = spawnSync(process.execPath, [main], {
      encoding: "utf8",
    });
    return { end: status ?? signal, stderr };
  } finally {
    rmSync(folder, { recursive: true });
  }
}

const signalItself = (signal: string) =>
  `process.kill(process.pid, "${signal}"); process.exitCode = 7;`;

// Guards against a change of the settings file that ends a starting process.
test("SIGHUP before the program handles it is ignored", () => {
  assert.is(runProgram(signalItself("SIGHUP")).end, 7);
});

// Guards against a stop of a starting process that looks like a failure.
test("a stop signal before the program handles it ends the process cleanly", () => {
  for (const signal of ["SIGTERM", "SIGINT"]) {
    const wait = "setInterval(() => {}, 1000);";
    const { end, stderr } = runProgram(signalItself(signal) + wait);
    assert.is(end, 0);
    assert.match(stderr, signal);
  }
});

// Guards against the end of a process that is to stop gracefully.
test("a stop signal that the program handles is left to it", () => {
  const { end } = runProgram(
    `process.on("SIGTERM", () => process.exit(8));
    setInterval(() => {}, 1000);
    process.kill(process.pid, "SIGTERM");`,
  );
  assert.is(end, 8);
});

test.run();
