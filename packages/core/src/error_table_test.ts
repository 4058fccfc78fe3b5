import { test } from "uvu";
import * as assert from "uvu/assert";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { ERROR_TABLE } from "./error_table.ts";

test("should have one entry for every error kind and no other", () => {
  assert.equal(
    Object.keys(ERROR_TABLE).sort(),
    Object.values(ErrorKind).sort(),
  );
});

test("should give every error a 4xx or 5xx status and a hint", () => {
  for (const [kind, entry] of Object.entries(ERROR_TABLE)) {
    assert.ok(entry.httpStatus >= 400 && entry.httpStatus < 600, kind);
    assert.match(entry.hint, /\.$/, kind);
  }
});

test("should never promise that a request sent to a target did not run", () => {
  const afterDispatch = [
    ErrorKind.TargetFailed,
    ErrorKind.TargetRefused,
    ErrorKind.AnswerIncomplete,
    ErrorKind.Preempted,
    ErrorKind.DeadlineExceeded,
    ErrorKind.Internal,
    ErrorKind.UnknownRequest,
  ];
  for (const kind of afterDispatch) {
    assert.is(ERROR_TABLE[kind].defaultRun, RunState.MayHaveRun, kind);
  }
});

test.run();
