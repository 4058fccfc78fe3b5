import { test } from "uvu";
import * as assert from "uvu/assert";
import { Rotation } from "./rotation.ts";

test("each entry is selected in turn, even if the list changes", () => {
  const rotation = new Rotation();
  assert.equal(rotation.next([1, 2, 3, 4, 5], 2), [1, 2]);
  assert.equal(rotation.next([1, 2, 3, 4, 5], 2), [3, 4]);
  assert.equal(rotation.next([1, 2, 3, 4, 5], 2), [5, 1]);
  assert.equal(rotation.next([1, 2], 2), [1, 2]);
  assert.equal(rotation.next([1, 2, 3, 4], 2), [3, 4]);
});

test.run();
