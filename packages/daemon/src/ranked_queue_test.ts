import { test } from "uvu";
import * as assert from "uvu/assert";
import { RankedQueue, type RunFunction } from "./ranked_queue.ts";

const NAME_BY_TASK = new Map<RunFunction, string>();

function task(name: string): RunFunction {
  const run: RunFunction = () => Promise.resolve(name);
  NAME_BY_TASK.set(run, name);
  return run;
}

function dequeueAll(queue: RankedQueue): string[] {
  const names: string[] = [];
  for (let run = queue.dequeue(); run !== undefined; run = queue.dequeue()) {
    names.push(NAME_BY_TASK.get(run)!);
  }
  return names;
}

function filledQueue(): RankedQueue {
  const queue = new RankedQueue();
  queue.enqueue(task("low, early"), { tierRank: 2, value: 9, id: "low" });
  queue.enqueue(task("high, early"), { tierRank: 0, value: 1 });
  queue.enqueue(task("unranked"));
  queue.enqueue(task("high, late"), { tierRank: 0, value: 1 });
  queue.enqueue(task("high, worth more"), { tierRank: 0, value: 5 });
  queue.enqueue(task("low, late"), { tierRank: 2, value: 9, id: "late" });
  return queue;
}

test("should rank by tier, then value, then arrival", () => {
  assert.equal(dequeueAll(filledQueue()), [
    "high, worth more",
    "high, early",
    "high, late",
    "low, early",
    "low, late",
    "unranked",
  ]);
});

test("should change the value of a queued task within its tier", () => {
  const queue = filledQueue();
  queue.setPriority("late", 10);
  assert.equal(dequeueAll(queue).slice(3, 5), ["low, late", "low, early"]);
  assert.throws(() => queue.setPriority("gone", 1), ReferenceError);
});

test("should find and remove tasks", () => {
  const queue = filledQueue();
  queue.remove("low");
  queue.remove("gone");
  const found = queue.filter({ tierRank: 2 }).map((run) =>
    NAME_BY_TASK.get(run)
  );
  assert.equal(found, ["low, late"]);
  assert.is(queue.size, 5);
});

test.run();
