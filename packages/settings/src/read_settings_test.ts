import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  describeAllowedValues,
  POLICY_FIELDS,
  TIMING_FIELDS,
} from "./policy_fields.ts";
import { readSettings } from "./read_settings.ts";
import { describeFault, SettingsFaultKind } from "./settings_fault.ts";
import { MAX_SETTINGS_BYTES } from "./yaml_source.ts";

const ROOT = new URL("../../../", import.meta.url);
const GOLDEN = "tests/golden/settings_faults/";

test("should report all faults of a file at once", () => {
  const faults = readSettings(readText(`${GOLDEN}broken.yaml`))
    ._unsafeUnwrapErr();
  const rendered = faults.map(describeFault).join("\n") + "\n";
  assert.snapshot(rendered, readText(`${GOLDEN}faults.txt`));
});

for (const example of ["shamba-safi", "sunu-registrs"]) {
  test(`should read the example ${example} clean`, () => {
    const read = readSettings(readText(`examples/${example}/settings.yaml`));
    assert.equal(read.isErr() ? read.error.map(describeFault) : [], []);
  });
}

test("should report syntax errors with line and column", () => {
  const faults = readSettings("fleet:\n  value: [1\n")._unsafeUnwrapErr();
  assert.ok(faults.length > 0);
  assert.ok(faults.every(({ kind }) => kind === SettingsFaultKind.Syntax));
  assert.ok(faults.every(({ line, column }) => line! > 0 && column! > 0));
});

test("should refuse text that is not a single tree of plain values", () => {
  const many = Array.from({ length: 200 }, () => "*a").join(", ");
  const texts = [
    "",
    "- 1",
    "a: 1\n---\nb: 2",
    "fleet: !secret 1",
    "fleet: &a {timing: *a}",
    `fleet: &a {x: [1, 2]}\ntiers: [${many}]`,
    `# ${"x".repeat(MAX_SETTINGS_BYTES)}`,
  ];
  for (const text of texts) assert.ok(readSettings(text).isErr(), text);
});

test("should not resolve names to inherited object properties", () => {
  const text = readText("examples/shamba-safi/settings.yaml")
    .replace("pool: kazi-desk\n", "pool: constructor\n");
  const [fault] = readSettings(text)._unsafeUnwrapErr();
  assert.is(fault.kind, SettingsFaultKind.UnknownReference);
  assert.is(fault.path, "targets.kazi-desk-1.pool");
});

test("should find every field documented on the operators' page", () => {
  // The formatter pads table cells with spaces.
  const page = readText("docs/operators/settings.md").replace(/ +/g, " ");
  const fields = { ...POLICY_FIELDS, ...TIMING_FIELDS };
  for (const [name, field] of Object.entries(fields)) {
    const row = `| \`${name}\` | ${field.initial} | ${
      describeAllowedValues(field)
    } |`;
    assert.ok(page.includes(row), row);
  }
});

function readText(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

test.run();
