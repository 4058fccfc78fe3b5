import { readFileSync } from "node:fs";
import { ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  Row,
  TransactAnswer,
  TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import {
  ChangeFaultKind,
  ChangeOutcomeKind,
  keysToReadBack,
  NO_VERSION,
  outcomeFromAnswer,
  outcomeFromRows,
  proposeChange,
  revertTo,
} from "./settings_change.ts";
import { settingsFromRow } from "./received_settings.ts";
import {
  HEAD_KEY,
  readHead,
  readVersionRow,
  RowFaultKind,
  versionKey,
} from "./settings_rows.ts";
import { withInstanceDraining, withTargetDraining } from "./draining_edits.ts";

const EXAMPLE = new URL(
  "../../../examples/shamba-safi/settings.yaml",
  import.meta.url,
);
const CONTENT = readFileSync(EXAMPLE, "utf8");
const EDITED = CONTENT.replace("value: 20", "value: 25");

test("should commit a first change and read it back", () => {
  const table = new FakeTable();
  const change = proposeNext(table, "a");
  assert.equal(
    outcomeFromAnswer(change, table.transact(change.request)),
    committedOutcome(1),
  );
  const head = readHead(table.row(HEAD_KEY)!)._unsafeUnwrap();
  assert.equal(head, { version: 1, changeId: "a" });
  const received = settingsFromRow(head, table.row(versionKey(1))!);
  assert.is(received._unsafeUnwrap().settings.version, 1);
  const other = { ...head, changeId: "b" };
  assert.ok(settingsFromRow(other, table.row(versionKey(1))!).isErr());
});

test("should commit one of two concurrent changes and report the other", () => {
  const table = new FakeTable();
  table.transact(proposeNext(table, "first").request);
  const [left, right] = [
    proposeNext(table, "left"),
    proposeNext(table, "right", EDITED),
  ];
  assert.equal(
    outcomeFromAnswer(right, table.transact(right.request)),
    committedOutcome(2),
  );
  const outcome = outcomeFromAnswer(left, table.transact(left.request));
  assert.equal(outcome._unsafeUnwrap(), {
    kind: ChangeOutcomeKind.LostRace,
    winner: { version: 2, changeId: "right" },
    currentVersion: 2,
  });
  const stale = proposeChange({
    ...metadata("late"),
    baseVersion: 1,
    headRow: table.row(HEAD_KEY),
    content: CONTENT,
  });
  assert.equal(stale._unsafeUnwrapErr(), {
    kind: ChangeFaultKind.StaleBase,
    baseVersion: 1,
    currentVersion: 2,
  });
});

test("should resolve a lost answer by the change id", () => {
  const table = new FakeTable();
  const change = proposeNext(table, "mine");
  const rows = () => table.read(keysToReadBack(change));
  assert.is(resolvedKind(change, rows()), ChangeOutcomeKind.NotCommitted);
  table.transact(change.request);
  assert.is(resolvedKind(change, rows()), ChangeOutcomeKind.Committed);
  // Also after later changes, and when the same request is sent again.
  table.transact(proposeNext(table, "next").request);
  assert.is(resolvedKind(change, rows()), ChangeOutcomeKind.Committed);
  assert.equal(
    outcomeFromAnswer(change, table.transact(change.request)),
    committedOutcome(1),
  );
  const loser = { version: 1, changeId: "other" };
  assert.equal(outcomeFromRows(loser, rows())._unsafeUnwrap(), {
    kind: ChangeOutcomeKind.LostRace,
    winner: { version: 1, changeId: "mine" },
    currentVersion: 2,
  });
});

test("should report rows that contradict each other after a lost answer", () => {
  const table = new FakeTable();
  const change = proposeNext(table, "mine");
  table.transact(change.request);
  const headAlone = table.read([HEAD_KEY]);
  const fault = outcomeFromRows(change, headAlone)._unsafeUnwrapErr();
  assert.is(fault.kind, RowFaultKind.Missing);
});

test("should reject a truncated, corrupt or misplaced row", () => {
  const table = new FakeTable();
  table.transact(proposeNext(table, "a").request);
  const row = table.row(versionKey(1))!;
  const faulty: [RowFaultKind, Row][] = [
    [RowFaultKind.NotJson, { ...row, value: row.value.slice(0, -9) }],
    [RowFaultKind.HashMismatch, {
      ...row,
      value: row.value.replace("value: 20", "value: 21"),
    }],
    [RowFaultKind.WrongKey, { ...row, key: versionKey(2) }],
    [RowFaultKind.WrongShape, { ...row, value: '{"version":0}' }],
  ];
  for (const [kind, bad] of faulty) {
    assert.is(readVersionRow(bad)._unsafeUnwrapErr().kind, kind);
    const revert = revertTo(bad, {
      headRow: table.row(HEAD_KEY)!,
      ...metadata("r"),
    });
    assert.is(revert._unsafeUnwrapErr().kind, ChangeFaultKind.BadRow);
  }
  const tornHead = { ...table.row(HEAD_KEY)!, value: '{"version":1' };
  assert.is(readHead(tornHead)._unsafeUnwrapErr().kind, RowFaultKind.NotJson);
});

test("should revert to earlier content as a new version", () => {
  const table = new FakeTable();
  table.transact(proposeNext(table, "a").request);
  table.transact(proposeNext(table, "b", EDITED).request);
  const change = revertTo(table.row(versionKey(1))!, {
    headRow: table.row(HEAD_KEY)!,
    ...metadata("c"),
  })._unsafeUnwrap();
  assert.equal(
    outcomeFromAnswer(change, table.transact(change.request)),
    committedOutcome(3),
  );
  const version = readVersionRow(table.row(versionKey(3))!)._unsafeUnwrap();
  assert.is(version.content, CONTENT);
  assert.is(version.note, "Reverts to version 1");
});

test("should reject faulty content and faulty metadata", () => {
  const base = { baseVersion: NO_VERSION, headRow: undefined };
  const bad = proposeChange({ ...base, ...metadata("a"), content: "fleet: 1" });
  assert.is(bad._unsafeUnwrapErr().kind, ChangeFaultKind.BadContent);
  const unnamed = proposeChange({ ...base, ...metadata(""), content: CONTENT });
  assert.is(unnamed._unsafeUnwrapErr().kind, ChangeFaultKind.BadNote);
});

test("should start and stop draining without other edits to the text", () => {
  const target = { targetId: "msaidizi-3" };
  const instance = { instanceId: "entry-3" };
  const drained = withTargetDraining(CONTENT, { ...target, draining: true })
    .andThen((text) =>
      withInstanceDraining(text, { ...instance, draining: true })
    )
    ._unsafeUnwrap();
  const added = drained.split("\n").filter((line) => !CONTENT.includes(line));
  assert.equal(added, ["    draining: true", "drainingInstances: [entry-3]"]);
  const restored = withTargetDraining(drained, { ...target, draining: false })
    .andThen((text) =>
      withInstanceDraining(text, { ...instance, draining: false })
    )
    ._unsafeUnwrap();
  assert.is(restored, CONTENT);
  const unknown = withTargetDraining(CONTENT, {
    targetId: "msaidizi-9",
    draining: true,
  });
  assert.match(unknown._unsafeUnwrapErr()[0].message, "did you mean");
});

/** In-memory substitute for the platform's table: reads and transactions. */
class FakeTable {
  readonly #rows = new Map<string, Row>();
  #lastVersion = 0;

  row(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  read(keys: string[]): Row[] {
    return keys.flatMap((key) => this.#rows.get(key) ?? []);
  }

  transact({ conditions, puts }: TransactRequest): TransactAnswer {
    const failed = conditions
      .filter(({ key, version }) => (this.row(key)?.version ?? 0) !== version);
    const conflicts = this.read(failed.map(({ key }) => key));
    if (failed.length > 0) return { committed: false, rows: [], conflicts };
    for (const { key, value } of puts) {
      this.#rows.set(key, { key, value, version: ++this.#lastVersion });
    }
    const rows = this.read(puts.map(({ key }) => key));
    return { committed: true, rows, conflicts };
  }
}

function proposeNext(table: FakeTable, changeId: string, content = CONTENT) {
  const headRow = table.row(HEAD_KEY);
  const baseVersion = headRow === undefined
    ? NO_VERSION
    : readHead(headRow)._unsafeUnwrap().version;
  return proposeChange({ ...metadata(changeId), baseVersion, headRow, content })
    ._unsafeUnwrap();
}

function metadata(changeId: string) {
  return { changeId, author: "an operator", note: "" };
}

function committedOutcome(version: number) {
  return ok({ kind: ChangeOutcomeKind.Committed, version });
}

function resolvedKind(
  change: { version: number; changeId: string },
  rows: Row[],
) {
  return outcomeFromRows(change, rows)._unsafeUnwrap().kind;
}

test.run();
