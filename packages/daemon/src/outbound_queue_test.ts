import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EnqueueOutcome, OutboundQueue } from "./outbound_queue.ts";

const MAX_BYTES = 30;

function frame(mark: number, isDroppable: boolean) {
  return { bytes: Buffer.alloc(10, mark), isDroppable };
}

test("should evict droppable frames first and then overflow", () => {
  const queue = new OutboundQueue();
  const outcomes = [
    frame(1, false),
    frame(2, true),
    frame(3, false),
    frame(4, false),
    frame(5, true),
    frame(6, false),
  ].map((each) => queue.enqueue(each, MAX_BYTES));
  const { Queued, Dropped, Overflow } = EnqueueOutcome;
  assert.equal(outcomes, [Queued, Queued, Queued, Queued, Dropped, Overflow]);
  assert.is(queue.bytes, MAX_BYTES);
  const marks = [1, 2, 3].map(() => queue.dequeue()?.bytes[0]);
  assert.equal(marks, [1, 3, 4]);
  assert.is(queue.dequeue(), null);
  assert.is(queue.bytes, 0);
});

test.run();
