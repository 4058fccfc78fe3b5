import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { codeCachePath, ProgramFile } from "./program_file.ts";

const RESULT_KEY = "programFileTestRan";
const PROGRAM = `globalThis.${RESULT_KEY} = [
  __filename === require("node:path").resolve(__filename),
  require("node:os").EOL.length > 0,
  typeof exports === "object" && module.exports === exports,
];`;

function withProgram(check: (path: string) => void): void {
  const folder = mkdtempSync(join(tmpdir(), "program-"));
  try {
    const path = join(folder, "program.cjs");
    writeFileSync(path, PROGRAM);
    check(path);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

function runAndReadResult(path: string): unknown {
  const globals = globalThis as Record<string, unknown>;
  delete globals[RESULT_KEY];
  new ProgramFile(path).run();
  return globals[RESULT_KEY];
}

test("a program receives the arguments of a CommonJS module", () =>
  withProgram((path) => {
    assert.equal(runAndReadResult(path), [true, true, true]);
  }));

test("runs from its code cache, and ignores a corrupt one", () =>
  withProgram((path) => {
    const file = new ProgramFile(path);
    file.run();
    writeFileSync(codeCachePath(path), file.codeCache());
    assert.equal(runAndReadResult(path), [true, true, true]);
    writeFileSync(codeCachePath(path), "spoilt");
    assert.equal(runAndReadResult(path), [true, true, true]);
  }));

test.run();
