import { Writable } from "node:stream";
import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LogFormat, Logger } from "./logger.ts";

const RATE = { maxLines: 2, windowMs: 1000, maxPatterns: 10 };

function makeLog(format: LogFormat) {
  const lines: string[] = [];
  const output = new Writable({
    write(chunk, _encoding, done) {
      lines.push(String(chunk).trimEnd());
      done();
    },
  });
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const level = LogLevel.Info;
  const logger = new Logger({
    clock,
    format,
    level,
    instanceId: "njiro-hall-1",
    output,
    rate: RATE,
  });
  return { logger, lines, clock };
}

test("should write lines from its level up, with the part as prefix", () => {
  const { logger, lines } = makeLog(LogFormat.Text);
  logger.write(LogLevel.Debug, LogPart.Peers, "Too fine");
  logger.write(LogLevel.Warn, LogPart.Peers, "Lost usa-river");
  assert.is(lines.length, 1);
  assert.match(lines[0], /^\S+ warn \[peers\] Lost usa-river$/);
});

test("should write JSON with the same fields", () => {
  const { logger, lines } = makeLog(LogFormat.Json);
  logger.write(LogLevel.Info, LogPart.Daemon, "Started");
  const { timestamp: _timestamp, ...fields } = JSON.parse(lines[0]);
  assert.equal(fields, {
    level: "info",
    message: "Started",
    part: "daemon",
    instanceId: "njiro-hall-1",
  });
});

test("should suppress lines of one pattern and report how many", () => {
  const { logger, lines, clock } = makeLog(LogFormat.Text);
  for (let id = 0; id < 10; id++) {
    logger.write(LogLevel.Warn, LogPart.Targets, `Lost msaidizi-${id}`);
  }
  logger.write(LogLevel.Warn, LogPart.Targets, "Something else");
  assert.is(lines.length, 3);
  clock.atMs = 1000;
  logger.write(LogLevel.Warn, LogPart.Targets, "Lost msaidizi-1");
  assert.match(lines[3], /\[targets\] Suppressed 8 more lines like: Lost #$/);
  assert.match(lines[4], /Lost msaidizi-1$/);
});

test("should report suppressed lines when closed", () => {
  const { logger, lines } = makeLog(LogFormat.Text);
  for (let id = 0; id < 3; id++) {
    logger.write(LogLevel.Warn, LogPart.Targets, "Lost it");
  }
  logger.close();
  assert.match(lines[2], /Suppressed 1 more lines like: Lost it$/);
});

test.run();
