import { test } from "uvu";
import * as assert from "uvu/assert";
import { describeDifference, diffTrees } from "./tree_diff.ts";
import { describeExplained, explainPolicy } from "./explain.ts";
import { PolicyLevel } from "./policy_levels.ts";
import { readSettings } from "./read_settings.ts";
import { resolveSettings } from "./resolve_settings.ts";

// Each level sets `value` to its position in ascending precedence, from 1.
const LEVELS = [
  "fleet: {value: 1}",
  "regions: {r: {failureDomains: [d], value: 2}, other: {failureDomains: [e]}}",
  "workspaces: {w: {value: 3}, plain: }",
  "regions: {r: {failureDomains: [d], workspaces: {w: {value: 4}}}}",
  "tiers: {low: {rank: 9}, high: {rank: 0, value: 5}}",
  "regions: {r: {failureDomains: [d], tiers: {high: {value: 6}}}}",
  "workspaces: {w: {tiers: {high: {value: 7}}}}",
  "regions: {r: {failureDomains: [d], workspaces: {w: {tiers: {high: {value: 8}}}}}}",
];

const SCOPE = { region: "r", workspace: "w", tier: "high" };

test("should let each level override the one before it", () => {
  LEVELS.forEach((level, index) => {
    const tree = completeTree(level);
    const [value] = explainPolicy(tree, SCOPE);
    assert.is(value.value, index + 1);
    assert.is(resolveSettings(tree, 1).policyFor(SCOPE).value, index + 1);
  });
});

test("should apply the value of the highest precedence", () => {
  const tree = completeTree(`
fleet: {value: 1}
regions:
  r:
    failureDomains: [d]
    value: 2
    tiers: {high: {value: 6}}
    workspaces: {w: {value: 4, tiers: {high: {value: 8}}}}
workspaces: {w: {value: 3, tiers: {high: {value: 7}}}, plain: }
tiers: {low: {rank: 9}, high: {rank: 0, value: 5}}
`);
  const [explained] = explainPolicy(tree, SCOPE);
  assert.is(explained.level, PolicyLevel.RegionWorkspaceTier);
  assert.equal(
    explained.overridden.map(({ value }) => value),
    [7, 6, 5, 4, 3, 2, 1, 1],
  );
  assert.is(
    describeExplained(explainPolicy(tree, { ...SCOPE, workspace: "plain" })[0]),
    "value = 6 from regions.r.tiers.high.value, overrides " +
      "5 from tiers.high.value, 2 from regions.r.value, " +
      "1 from fleet.value, 1 from the shipped default",
  );
  const lowValue = explainPolicy(tree, { ...SCOPE, tier: "low" })[0];
  assert.is(lowValue.value, 4);
});

test("should resolve a tree with defaults and indexes", () => {
  const settings = resolveSettings(
    completeTree("fleet: {timing: {askTimeoutMs: 99}}"),
    7,
  );
  assert.is(settings.version, 7);
  assert.equal(settings.tiers, ["high", "low"]);
  assert.equal([...settings.regionOfDomain], [["d", "r"]]);
  assert.is(settings.timing.askTimeoutMs, 99);
  assert.is(settings.timing.heartbeatMs, 500);
  assert.is(settings.targets.get("t-1")?.callMs, 200);
  assert.is(settings.policyFor(SCOPE), settings.policyFor({ ...SCOPE }));
  assert.is(settings.policyFor({ ...SCOPE, region: "constructor" }).value, 1);
  assert.throws(() => settings.policyFor({ ...SCOPE, tier: "toString" }));
});

test("should list the differences of two trees by path", () => {
  const before = completeTree(
    "workspaces: {w: {value: 3}, gone: }\ndrainingInstances: [a, b]",
  );
  const after = completeTree(
    "workspaces: {w: {value: 4}, new: {value: 1}}\ndrainingInstances: [b, c]",
  );
  assert.equal(diffTrees(before, after).map(describeDifference), [
    '- drainingInstances[a]: "a"',
    '+ drainingInstances[c]: "c"',
    "- workspaces.gone: {}",
    "+ workspaces.new.value: 1",
    "~ workspaces.w.value: 3 -> 4",
  ]);
  assert.equal(diffTrees(after, after), []);
});

/** Completes a partial tree with the smallest valid sections. */
function completeTree(part: string) {
  const defaults = {
    regions: "regions: {r: {failureDomains: [d]}}",
    tiers: "tiers: {low: {rank: 9}, high: {rank: 0}}",
    workspaces: "workspaces: {w: , plain: }",
    pools: "pools: {p: {kind: service}}",
    targets:
      "targets: {t-1: {pool: p, failureDomain: d, address: '127.0.0.1:1', slots: 1}}",
  };
  const missing = Object.entries(defaults)
    .filter(([name]) => !new RegExp(`^${name}:`, "m").test(part))
    .map(([, text]) => text);
  return readSettings([part, ...missing].join("\n"))._unsafeUnwrap();
}

test.run();
